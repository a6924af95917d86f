#include "include/net/AnswerForm.h"

#include "include/base/HttpStatus.h"

#include <boost/beast/core/string.hpp>

namespace onyx {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

bool IsStatus(unsigned status) {
    // No request asks for another protocol.
    return status >= HttpStatus::kFirstInterim && status < HttpStatus::kEnd &&
           status != HttpStatus::kSwitchingProtocols;
}

bool IsCodingKnown(const http::fields& fields) {
    const size_t count = fields.count(http::field::transfer_encoding);
    return count == 0 ||
           (count == 1 && beast::iequals(fields[http::field::transfer_encoding], "chunked"));
}

}  // namespace

bool IsAnswerHead(const http::response_header<http::fields>& head) {
    return IsStatus(head.result_int()) && IsCodingKnown(head);
}

}  // namespace onyx
