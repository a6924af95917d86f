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

// Guards against a body that is passed on as it is coded.
TEST_CASE("A head is that of an answer if its transfer coding is chunked, or none") {
    for (const char* coding : {"xchunked", "gzip", "gzip, chunked", "chunked, gzip", "identity",
                               "chunked;q=1", "chunked, chunked", ""}) {
        auto head = HeadOf(200);
        head.insert(http::field::transfer_encoding, coding);
        CHECK_FALSE(IsAnswerHead(head));
    }
    auto head = HeadOf(200);
    head.insert(http::field::transfer_encoding, "Chunked");
    CHECK(IsAnswerHead(head));
    head.insert(http::field::transfer_encoding, "xchunked");
    CHECK_FALSE(IsAnswerHead(head));
}
