// Calls plain services: one request, one whole answer.
#pragma once

#include "include/net/HttpClient.h"

#include <string>

namespace onyx {

// A call to make.
struct ServiceCall {
    Endpoint service;
    std::string upstreamId;
    std::string method = "POST";
    std::string target = "/";
    std::string contentType;
    std::string body;
    std::string key;     // Idempotency key, if any.
    uint64_t fence = 0;  // Fencing token, for services that check it; 0: none.
    Millis timeout = 10000;
};

// What came of it.
struct ServiceAnswer {
    bool answered = false;  // A whole answer came, for this call.
    bool written = true;    // False: no byte was written, or the service said that it did not run.
    bool refused = false;   // The connection was refused.
    uint16_t status = 0;
    std::string contentType;
    std::string body;
    std::string detail;
};

// Not thread safe: one io_context.
class ServiceClient {
public:
    explicit ServiceClient(asio::any_io_executor executor) : m_http(std::move(executor)) {}

    // Makes the call. An answer that carries another request's id is none. Preconditions: none.
    Task<ServiceAnswer> call(ServiceCall call);

private:
    HttpClient m_http;
};

}  // namespace onyx
