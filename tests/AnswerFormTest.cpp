#include "include/net/AnswerForm.h"

#include <catch2/catch.hpp>

using namespace onyx;
namespace http = boost::beast::http;

namespace {

http::response_header<http::fields> HeadOf(unsigned status) {
    http::response_header<http::fields> head;
    head.result(status);
    return head;
}

}  // namespace

// Guards against statuses that are taken for interim ones, or passed on, though HTTP has none such.
TEST_CASE("A head is that of an answer if HTTP has its status") {
    for (const unsigned status : {0U, 1U, 99U, 101U, 600U, 999U}) {
        CHECK_FALSE(IsAnswerHead(HeadOf(status)));
    }
    for (const unsigned status : {100U, 102U, 199U, 200U, 299U, 404U, 503U, 599U}) {
        CHECK(IsAnswerHead(HeadOf(status)));
    }
}
