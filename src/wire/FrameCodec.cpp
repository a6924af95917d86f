#include "include/wire/FrameCodec.h"

#include <flatbuffers/flatbuffers.h>

namespace onyx {

std::string EncodeFrame(const wire::BodyUnion& body) {
    flatbuffers::FlatBufferBuilder builder(512);
    const auto packed = body.Pack(builder);
    builder.Finish(wire::CreateFrame(builder, body.type, packed));
    uint8_t header[kFrameHeaderSize];
    flatbuffers::WriteScalar(header, static_cast<uint32_t>(builder.GetSize()));
    std::string frame(reinterpret_cast<const char*>(header), kFrameHeaderSize);
    frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    return frame;
}

Result<size_t> DecodeFrameSize(std::span<const char> header) {
    const auto size = flatbuffers::ReadScalar<uint32_t>(header.data());
    if (size == 0 || size > kMaxFrameSize) {
        return Error{ErrorCode::kProtocol, "frame.size", "", std::to_string(size)};
    }
    return static_cast<size_t>(size);
}

Result<wire::BodyUnion> DecodeFrame(std::span<const char> content) {
    const auto* bytes = reinterpret_cast<const uint8_t*>(content.data());
    flatbuffers::Verifier verifier(bytes, content.size());
    if (!verifier.VerifyBuffer<wire::Frame>(nullptr)) {
        return Error{ErrorCode::kProtocol, "frame.verify", "", "not a valid frame"};
    }
    const wire::Frame* frame = flatbuffers::GetRoot<wire::Frame>(bytes);
    const auto type = frame->body_type();
    if (type == wire::Body::NONE || frame->body() == nullptr) {
        return Error{ErrorCode::kProtocol, "frame.type", "", "no message"};
    }
    wire::BodyUnion body;
    body.type = type;
    if (IsKnownMessage(body)) {
        body.value = wire::BodyUnion::UnPack(frame->body(), type, nullptr);
    }
    return body;
}

}  // namespace onyx
