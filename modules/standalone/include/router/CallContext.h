// What is known of one caller's request as it passes the filters.
#pragma once

#include "include/net/HttpServer.h"
#include "modules/standalone/include/config/Snapshot.h"

#include <memory>
#include <string>

namespace onyx {

// Belongs to the connection's task; not thread safe.
struct CallContext {
    explicit CallContext(HttpExchange& http) : exchange(http) {}

    HttpExchange& exchange;
    std::shared_ptr<const Snapshot> snapshot;  // Held, so that team and service stay valid.
    const TeamConfig* team = nullptr;
    const ServiceConfig* service = nullptr;
    std::string target;  // What a plain service is called with.
    Priority priority = Priority::kNormal;
    MonoTime arrivedAt;
    MonoTime deadline;
    ChatId chat;
    bool stream = false;
    std::string key;  // Of a request that may not be repeated.
    WallTime keyMintedAt;
};

}  // namespace onyx
