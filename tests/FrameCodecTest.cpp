#include "include/wire/FrameCodec.h"

#include <catch2/catch.hpp>

#include <random>

using namespace onyx;

namespace {

std::span<const char> ContentOf(const std::string& frame) {
    return std::span(frame).subspan(kFrameHeaderSize);
}

}  // namespace

TEST_CASE("A message survives its frame") {
    wire::RunRequestT request;
    request.id = 7;
    request.engine = "bio-hall.engine1";
    request.body = {1, 2, 3};
    const std::string frame = EncodeMessage(request);
    CHECK(DecodeFrameSize(std::span(frame).first(kFrameHeaderSize)).value() ==
          frame.size() - kFrameHeaderSize);
    auto decoded = DecodeFrame(ContentOf(frame));
    REQUIRE(decoded.has_value());
    REQUIRE(decoded.value().AsRunRequest() != nullptr);
    CHECK(decoded.value().AsRunRequest()->engine == request.engine);
    CHECK(decoded.value().AsRunRequest()->body == request.body);
}

TEST_CASE("Broken and unknown frames are errors, never more") {
    const char zero[kFrameHeaderSize] = {0, 0, 0, 0};
    const char huge[kFrameHeaderSize] = {-1, -1, -1, 127};
    CHECK(DecodeFrameSize(zero).error().code == ErrorCode::kProtocol);
    CHECK(DecodeFrameSize(huge).error().code == ErrorCode::kProtocol);
    CHECK(DecodeFrame(std::span<const char>()).has_error());
    wire::DigestT digest;
    digest.loads.emplace_back(1, 2, true);
    const std::string good = EncodeMessage(digest);
    std::mt19937 random(1);
    for (int i = 0; i < 20000; ++i) {
        std::string bad = good;
        const int flips = 1 + static_cast<int>(random() % 6);
        for (int flip = 0; flip < flips; ++flip) {
            bad[kFrameHeaderSize + random() % (bad.size() - kFrameHeaderSize)] =
                static_cast<char>(random());
        }
        bad.resize(bad.size() - random() % 4);
        const auto decoded = DecodeFrame(ContentOf(bad));
        const bool sane = decoded.has_value() || decoded.error().code == ErrorCode::kProtocol;
        CHECK(sane);
    }
}

TEST_CASE("A message of a later version is told from a broken one") {
    flatbuffers::FlatBufferBuilder builder;
    const auto message = wire::CreateRunCancel(builder, 7);
    builder.Finish(wire::CreateFrame(builder, static_cast<wire::Body>(200), message.Union()));
    const auto* bytes = reinterpret_cast<const char*>(builder.GetBufferPointer());
    auto decoded = DecodeFrame({bytes, builder.GetSize()});
    REQUIRE(decoded.has_value());
    CHECK_FALSE(IsKnownMessage(decoded.value()));
    CHECK(decoded.value().AsRunCancel() == nullptr);
    decoded = DecodeFrame(ContentOf(EncodeMessage(wire::RunCancelT{})));
    CHECK(IsKnownMessage(decoded.value()));
}
