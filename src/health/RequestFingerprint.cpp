#include "include/health/RequestFingerprint.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace onyx {

namespace {

std::string HostName(std::string_view host) {
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

}  // namespace

uint64_t Fingerprint(const RequestIdentity& request) {
    return Fingerprint(request, std::span(&request.body, 1));
}

uint64_t Fingerprint(const RequestIdentity& request, std::span<const std::string_view> pieces) {
    const std::string host = HostName(request.host);
    const std::array<std::string_view, 4> parts = {request.method, host, request.target,
                                                   request.team};
    uint64_t hash = 0;
    for (const std::string_view part : parts) {
        hash = HashPair(hash, HashText(part));
    }
    return HashPair(hash, HashPieces(pieces));
}

uint64_t PartFingerprint(std::string_view part) {
    constexpr uint64_t kSalt = 2;  // Keeps parts apart from requests.
    return HashPair(HashText(part), kSalt);
}

std::string FingerprintText(uint64_t fingerprint) {
    constexpr size_t kDigits = 16;
    std::array<char, kDigits> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + kDigits, fingerprint, 16);
    const std::string text(digits.data(), end.ptr);
    return std::string(kDigits - text.size(), '0') + text;
}

}  // namespace onyx
