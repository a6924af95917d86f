#include "include/net/AnswerForm.h"

#include "include/base/HttpStatus.h"

namespace onyx {

bool IsAnswerHead(const boost::beast::http::response_header<boost::beast::http::fields>& head) {
    const unsigned status = head.result_int();
    // No request asks for another protocol.
    return status >= HttpStatus::kFirstInterim && status < HttpStatus::kEnd &&
           status != HttpStatus::kSwitchingProtocols;
}

}  // namespace onyx
