#include "include/admission/RequestMemory.h"

#include <tuple>

namespace onyx {

void RequestMemory::Request::advance(MonoTime now) {
    const Millis passed = now - windowStart;
    if (passed < kWindowMs) {
        return;
    }
    previous = passed < 2 * kWindowMs ? current : 0;
    current = 0;
    windowStart = now;
}

bool RequestMemory::Request::hasStalled(MonoTime now) const {
    return now - opened >= 2 * kWindowMs && progress() < kMinProgress;
}

RequestMemory::Holder RequestMemory::open(MonoTime now, std::function<void()> onEvict) {
    Request request;
    request.opened = now;
    request.windowStart = now;
    request.onEvict = std::move(onEvict);
    m_requests.emplace(++m_next, std::move(request));
    return m_next;
}

bool RequestMemory::fits(const Request& request, size_t bytes) const {
    const size_t after = request.held + bytes;
    if (bytes > m_bytes - m_held) {
        return false;
    }
    const auto reserve = static_cast<size_t>(static_cast<double>(m_bytes) * kSmallReserve);
    const size_t otherLarge = m_largeHeld - (request.isLarge() ? request.held : 0);
    return after <= kSmallBytes || otherLarge + after <= m_bytes - reserve;
}

bool RequestMemory::take(Holder holder, size_t bytes, MonoTime now) {
    Request& request = m_requests.at(holder);
    const bool isLarge = request.held + bytes > kSmallBytes;
    while (!fits(request, bytes)) {
        if (!evictFor(holder, isLarge, now)) {
            ++m_refusals;
            return false;
        }
    }
    setHeld(request, request.held + bytes);
    return true;
}

// Evicts the unfinished request that has to give way to `holder` first. Returns false if none has.
bool RequestMemory::evictFor(Holder holder, bool isLarge, MonoTime now) {
    auto victim = m_requests.end();
    // Small ones last, then by what arrived of late.
    const auto rank = [](const Request& request) {
        return std::make_tuple(!request.isLarge(), request.progress());
    };
    for (auto it = m_requests.begin(); it != m_requests.end(); ++it) {
        Request& other = it->second;
        if (it->first == holder || !other.isReading || other.held == 0) {
            continue;
        }
        other.advance(now);
        const bool yields = isLarge ? other.isLarge() && other.hasStalled(now)
                                    : other.isLarge() || other.hasStalled(now);
        if (yields && (victim == m_requests.end() || rank(other) < rank(victim->second))) {
            victim = it;
        }
    }
    if (victim == m_requests.end()) {
        return false;
    }
    ++m_evictions;
    victim->second.isReading = false;
    const auto onEvict = std::exchange(victim->second.onEvict, nullptr);
    onEvict();
    return true;
}

void RequestMemory::setHeld(Request& request, size_t held) {
    m_largeHeld -= request.isLarge() ? request.held : 0;
    m_held -= request.held;
    request.held = held;
    m_held += request.held;
    m_largeHeld += request.isLarge() ? request.held : 0;
}

void RequestMemory::noteProgress(Holder holder, size_t bytes, MonoTime now) {
    Request& request = m_requests.at(holder);
    request.advance(now);
    request.current += bytes;
}

void RequestMemory::noteWhole(Holder holder) {
    Request& request = m_requests.at(holder);
    request.isReading = false;
    request.onEvict = nullptr;
}

void RequestMemory::release(Holder holder, size_t bytes) {
    Request& request = m_requests.at(holder);
    setHeld(request, request.held - bytes);
}

void RequestMemory::close(Holder holder) {
    const auto it = m_requests.find(holder);
    setHeld(it->second, 0);
    m_requests.erase(it);
}

}  // namespace onyx
