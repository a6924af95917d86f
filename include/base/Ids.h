// Identifier types for the entities that decisions refer to. Each is a plain string with its own
// type, so that a box cannot be passed where an engine is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace onyx {

// A string that identifies an entity of one kind. `Tag` only distinguishes the kinds.
template <class Tag>
struct Id {
    std::string value;

    Id() = default;
    explicit Id(std::string v) : value(std::move(v)) {}
    explicit Id(std::string_view v) : value(v) {}
    explicit Id(const char* v) : value(v) {}

    bool empty() const { return value.empty(); }
    friend auto operator<=>(const Id&, const Id&) = default;
};

using EngineId = Id<struct EngineTag>;    // One model replica.
using ZoneId = Id<struct ZoneTag>;        // An availability zone.
using TeamId = Id<struct TeamTag>;        // A customer of the operator.
using ServiceId = Id<struct ServiceTag>;  // Addressed by callers: a model or a plain service.
using ChatId = Id<struct ChatTag>;        // A chat whose caller returns with further requests.
// One incarnation of a box, "name#incarnation". A box that restarts is another member.
using MemberId = Id<struct MemberTag>;

}  // namespace onyx

template <class Tag>
struct std::hash<onyx::Id<Tag>> {
    size_t operator()(const onyx::Id<Tag>& id) const { return std::hash<std::string>{}(id.value); }
};
