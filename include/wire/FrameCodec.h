// Module wire. A FrameLink owns its connection; the module relies on net and on the code generated
// from schema/frames.fbs.
//
// Frames between the project's own processes: a length, then a FlatBuffers message that was
// checked by the library's verifier. The messages are in schema/frames.fbs.
#pragma once

#include "generated/frames_generated.h"
#include "include/base/Result.h"

#include <span>
#include <string>

namespace onyx {

// Of the frames; two boxes with different ones do not link.
inline constexpr uint32_t kWireVersion = 1;
inline constexpr size_t kFrameHeaderSize = 4;  // Length of the rest, little endian.
// Bytes; larger frames break the protocol. Far above a large site's list or
// configuration.
inline constexpr size_t kMaxFrameSize = size_t{8} * 1024 * 1024;

// Wraps a message of the schema (such as wire::DigestT) and encodes it with its length.
// Preconditions: the message encodes to at most kMaxFrameSize. Thread safety: any thread.
std::string EncodeFrame(const wire::BodyUnion& body);

// Encodes one message of the schema. Preconditions and thread safety as above.
template <class Message>
std::string EncodeMessage(Message message) {
    wire::BodyUnion body;
    body.Set(std::move(message));
    return EncodeFrame(body);
}

// Length of the frame that follows `header`. Errors: kProtocol if it is 0 or too large.
// Preconditions: header.size() == kFrameHeaderSize. Thread safety: any thread.
Result<size_t> DecodeFrameSize(std::span<const char> header);

// Checks and unpacks a frame's content. A message of a later version keeps its type, without a
// value. Errors: kProtocol if the verifier rejects it, or if it holds no message.
// Preconditions: none. Thread safety: any thread.
Result<wire::BodyUnion> DecodeFrame(std::span<const char> content);

// Whether this version knows the kind of message. One that it does not know is passed over: boxes
// of different versions stay linked while they are replaced one after the other.
// Thread safety: any thread.
inline bool IsKnownMessage(const wire::BodyUnion& body) {
    return body.type <= wire::Body::MAX;
}

}  // namespace onyx
