#include "include/request/CallerRequest.h"

#include "include/health/RequestFingerprint.h"

namespace onyx {

uint64_t CallerRequest::fingerprint() {
    if (!m_fingerprint) {
        const std::string_view method = message.method_string();
        const std::string_view host = message[boost::beast::http::field::host];
        const std::string_view target = message.target();
        const std::vector<std::string_view> pieces = body->pieces();
        m_fingerprint = Fingerprint({method, host, target, admission.team.value, {}}, pieces);
    }
    return *m_fingerprint;
}

const std::vector<uint64_t>& CallerRequest::fingerprints() {
    if (m_fingerprints.empty()) {
        m_fingerprints.push_back(fingerprint());
        for (const std::string& part : facts.sharedParts) {
            m_fingerprints.push_back(PartFingerprint(part));
        }
    }
    return m_fingerprints;
}

}  // namespace onyx
