// Client of the object API that the product's own programs (onyx-agent, onyx-admin) use: objects
// with versions, conditional updates, watches, and the box list. The gateway follows the users'
// store with StoreWatch instead.
#pragma once

#include "include/net/HttpClient.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace onyx {

// An object. Version 0 stands for "does not exist".
struct PlatformObject {
    uint64_t version = 0;
    std::string value;
};

// A box, of ours or of an upstream, as the platform lists it. The list lags.
struct PlatformBox {
    std::string name;
    std::string zone;
    std::string address;  // ip:port of its frames; empty for an upstream's box.
    bool leaving = false;
};

// Not thread safe: one io_context. Errors of all calls: kUnavailable (the call did not reach the
// platform, or was refused for now: no effect), kUnknown and kTimeout (it may have taken effect).
class ObjectClient {
public:
    static constexpr Millis kCallTimeout = 2000;

    ObjectClient(asio::any_io_executor executor, const Endpoint& platform)
        : m_http(std::move(executor)), m_platform(platform) {}

    // Reads an object; version 0 if there is none. Preconditions: none.
    Task<Result<PlatformObject>> get(std::string path);

    // Writes an object if its version is `expect` (0: if there is none); returns the new version.
    // Errors besides: kConflict. Preconditions: value of at most 1 MB.
    Task<Result<uint64_t>> put(std::string path, uint64_t expect, std::string value);

    // Waits until the object's version differs from `known`; nothing if that takes longer than
    // `wait`. Preconditions: wait > 0.
    Task<Result<std::optional<PlatformObject>>> watch(std::string path, uint64_t known,
                                                      Millis wait);

    // The box list. Preconditions: none.
    Task<Result<std::vector<PlatformBox>>> boxes();

    // The box list if it is not the one of `version` any more; sets `version` to the new one's.
    // At 340 boxes it is 30 KB, so it must not be read anew every second. Preconditions: the
    // version outlives the call; 0 before the first.
    Task<Result<std::optional<std::vector<PlatformBox>>>> boxesSince(uint64_t& version);

    // Marks a box as leaving. Preconditions: none.
    Task<Result<bool>> setLeaving(std::string box);

private:
    Task<Result<HttpAnswer>> call(std::string method, std::string target, std::string body,
                                  Millis timeout);

    HttpClient m_http;
    Endpoint m_platform;
};

}  // namespace onyx
