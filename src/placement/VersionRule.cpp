#include "include/placement/VersionRule.h"

namespace onyx {

namespace {

struct IsAllowed {
    const Upstream& upstream;

    bool operator()(const AnyVersion&) const { return true; }
    bool operator()(const WithoutVersions& rule) const {
        return !rule.versions.contains(upstream.version);
    }
    bool operator()(const OnlyVersion& rule) const { return upstream.version == rule.version; }
    bool operator()(const NoVersion&) const { return false; }
    bool operator()(const OnlyUpstreams& rule) const { return rule.ids->contains(upstream.id); }
};

}  // namespace

bool AllowsUpstream(const VersionRule& rule, const Upstream& upstream) {
    return std::visit(IsAllowed{upstream}, rule);
}

}  // namespace onyx
