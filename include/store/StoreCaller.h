// Makes single calls of the store for objects that are not watched.
#pragma once

#include "include/net/HttpClient.h"
#include "include/store/ObjectStore.h"

#include <string>

namespace onyx {

// Not thread safe: one io_context.
class StoreCaller {
public:
    // `timeout`: for an answer, in milliseconds. Preconditions: none.
    StoreCaller(asio::any_io_executor executor, Endpoint store, Millis timeout)
        : m_client(std::move(executor)), m_store(std::move(store)), m_timeout(timeout) {}

    // Returns the body of the answer to a reading call. Errors: as HttpClient::call();
    // kUnavailable with the status if the store refuses. Preconditions: none.
    Task<Result<std::string>> read(std::string target);

    // Makes a writing call; returns the answer whatever its status. Errors: as HttpClient::call();
    // the store may have taken the write, or may take it later. Preconditions: none.
    Task<Result<HttpAnswer>> write(StoreWrite call);

private:
    HttpClient m_client;
    Endpoint m_store;
    Millis m_timeout;
};

}  // namespace onyx
