#include "include/request/RequestParser.h"

#include "include/health/RequestFingerprint.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <string_view>

using namespace onyx;

namespace {

constexpr size_t kMemory = size_t{16} << 20;
constexpr std::string_view kStart = "POST /pay/1 HTTP/1.1\r\nHost: desk.example\r\n";

// A parser that is fed as a connection feeds it: in pieces.
struct Feed {
    explicit Feed(size_t bytes = kMemory, size_t bodyBytes = size_t{4} << 20)
        : memory(std::make_shared<RequestMemory>(bytes)) {
        CallerLimits limits;
        limits.bodyBytes = bodyBytes;
        parser.emplace(limits, memory, [this] { parser->dropBody(); });
    }

    std::optional<ReadEnd> give(std::string_view text, size_t piece = 8192) {
        std::optional<ReadEnd> end;
        while (!text.empty() && !end) {
            const std::string_view part = text.substr(0, piece);
            text.remove_prefix(part.size());
            auto space = buffer.prepare(part.size());
            std::copy(part.begin(), part.end(), static_cast<char*>(space.data()));
            buffer.commit(part.size());
            end = parser->parse(buffer, {0});
            if (end == ReadEnd::kLarge) {
                ++large;
                end = parser->parse(buffer, {0});
            }
        }
        return end;
    }

    std::string body() {
        std::string whole;
        const auto read = parser->takeBody();
        for (const std::string_view piece : read->pieces()) {
            whole += piece;
        }
        return whole;
    }

    std::shared_ptr<RequestMemory> memory;
    std::optional<RequestParser> parser;
    boost::beast::flat_buffer buffer;
    int large = 0;  // How often kLarge was returned.
};

std::string WithLength(size_t size) {
    return std::string(kStart) + "Content-Length: " + std::to_string(size) + "\r\n\r\n";
}

std::string Numbers(size_t size) {
    std::string text;
    while (text.size() < size) {
        text += std::to_string(text.size()) + ",";
    }
    return text.substr(0, size);
}

std::string Chunked(std::string_view body, size_t chunk) {
    std::string text = std::string(kStart) + "Transfer-Encoding: chunked\r\n\r\n";
    while (!body.empty()) {
        const std::string_view part = body.substr(0, chunk);
        body.remove_prefix(part.size());
        char size[17];
        std::snprintf(size, sizeof(size), "%zx", part.size());
        text += std::string(size) + "\r\n" + std::string(part) + "\r\n";
    }
    return text + "0\r\n\r\n";
}

}  // namespace

TEST_CASE("A request without a body takes no memory") {
    Feed feed;
    CHECK(feed.give(std::string(kStart) + "\r\n") == ReadEnd::kRequest);
    CHECK(feed.memory->held() == 0);
    CHECK(feed.body().empty());
    CHECK(feed.large == 0);
}

TEST_CASE("A body is read whole, with a length or in chunks, whatever the pieces") {
    const size_t size = GENERATE(1, 4096, 65535, 65536, 200000, size_t{4} << 20);
    const size_t piece = GENERATE(1000, 8192);
    const std::string body = Numbers(size);
    const size_t chunk = GENERATE(0, 7, 70000);
    const bool isTiny = chunk == 7 && size > 200000;
    if (!isTiny) {
        Feed feed;
        const std::string text = chunk == 0 ? WithLength(size) + body : Chunked(body, chunk);
        CHECK(feed.give(text, piece) == ReadEnd::kRequest);
        CHECK(feed.buffer.size() == 0);
        CHECK(feed.large == (size > RequestMemory::kSmallBytes ? 1 : 0));
        CHECK(feed.memory->held() >= size);
        CHECK(feed.memory->held() <= size + 2 * RequestBody::kMaxBlock);
        CHECK(feed.body() == body);
        CHECK(feed.memory->held() == 0);
    }
}

TEST_CASE("What follows a request on its connection is left for the next one") {
    Feed feed;
    CHECK(feed.give(WithLength(2) + "hi" + std::string(kStart)) == ReadEnd::kRequest);
    CHECK(feed.buffer.size() == kStart.size());
    CHECK(feed.body() == "hi");
}

TEST_CASE("An announced length that finds no memory is refused before its body") {
    Feed feed(size_t{2} << 20);
    CHECK(feed.give(WithLength(size_t{4} << 20)) == ReadEnd::kNoMemory);
    CHECK(feed.memory->held() == 0);
}

TEST_CASE("A body over the limit is too large, by its length or by its chunks") {
    Feed byLength(kMemory, 1000);
    CHECK(byLength.give(WithLength(1001)) == ReadEnd::kTooLarge);
    Feed byChunks(kMemory, 1000);
    CHECK(byChunks.give(Chunked(Numbers(1001), 100)) == ReadEnd::kTooLarge);
}

TEST_CASE("Chunks without memory for more end the request") {
    Feed feed(size_t{2} << 20);
    CHECK(feed.give(Chunked(Numbers(size_t{3} << 20), 65536)) == ReadEnd::kNoMemory);
    feed.parser.reset();
    CHECK(feed.memory->held() == 0);
}

TEST_CASE("A trailer cannot change how a request is framed or addressed") {
    Feed feed;
    const std::string text = std::string(kStart) +
                             "Transfer-Encoding: chunked\r\nTrailer: Host\r\n\r\n"
                             "2\r\nhi\r\n0\r\nHost: gate.example\r\n\r\n";
    CHECK(feed.give(text) == ReadEnd::kBad);
}

TEST_CASE("Two lengths, no host, and folded lines are no request") {
    Feed twice;
    CHECK(twice.give(std::string(kStart) + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi") ==
          ReadEnd::kBad);
    Feed nowhere;
    CHECK(nowhere.give("GET / HTTP/1.1\r\n\r\n") == ReadEnd::kBad);
    Feed folded;
    CHECK(folded.give(std::string(kStart) + "X: a\r\n b\r\n\r\n") == ReadEnd::kBad);
}

TEST_CASE("The fingerprint of a body does not depend on the blocks that hold it") {
    const std::string body = Numbers(300000);
    Feed feed;
    REQUIRE(feed.give(Chunked(body, 5000)) == ReadEnd::kRequest);
    const auto read = feed.parser->takeBody();
    const auto pieces = read->pieces();
    CHECK(pieces.size() > 2);
    CHECK(Fingerprint({"POST", "desk.example", "/pay/1", "north", {}}, pieces) ==
          Fingerprint({"POST", "desk.example", "/pay/1", "north", body}));
    CHECK(Fingerprint({"GET", "desk.example", "/", "", {}}, RequestBody().pieces()) ==
          Fingerprint({"GET", "desk.example", "/", "", ""}));
}
