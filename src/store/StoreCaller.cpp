#include "include/store/StoreCaller.h"

#include "include/base/HttpStatus.h"

namespace onyx {

Task<Result<std::string>> StoreCaller::read(std::string target) {
    HttpOutgoing request;
    request.target = std::move(target);
    auto answer = co_await m_client.call(m_store, std::move(request), m_timeout);
    if (answer.has_error()) {
        co_return answer.error();
    }
    if (answer.value().status != HttpStatus::kOk) {
        co_return Error{ErrorCode::kUnavailable, "store.read", "",
                        std::to_string(answer.value().status)};
    }
    co_return std::move(answer.value().body);
}

Task<Result<HttpAnswer>> StoreCaller::write(StoreWrite call) {
    HttpOutgoing request;
    request.method = std::move(call.method);
    request.target = std::move(call.target);
    request.contentType = "application/json";
    request.body = std::move(call.body);
    co_return co_await m_client.call(m_store, std::move(request), m_timeout);
}

}  // namespace onyx
