// Replays a site whose upstreams crash under one part of prompts, no two requests alike, while the
// boxes exchange crashes only through the frames of CrashExchange, some of which are late or lost.
#include "include/base/Hash.h"
#include "include/health/RequestFingerprint.h"
#include "include/membership/BoxDirectory.h"
#include "include/peers/CrashExchange.h"
#include "include/wire/FrameCodec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

using namespace onyx;

namespace {

// All times in milliseconds.
constexpr Millis kStep = 10;
constexpr Millis kDowntime = 2500;   // Of an upstream that crashed.
constexpr Millis kBadRuns = 60;      // A request with the bad part, before its upstream crashes.
constexpr Millis kSoundRuns = 1200;  // A sound request.
constexpr Millis kBadFrom = 6000;    // When requests with the bad part begin to come.
constexpr Millis kEnd = 24000;
constexpr size_t kMaxDialed = 16;
constexpr size_t kCrashesKnown = 5;
constexpr size_t kMostLate = 3;
constexpr double kMaxBytes = 2000;  // A second and box, for all control traffic.

struct Outcome {
    size_t crashes = 0;
    size_t badLate = 0;  // Sent later than connected_ms after the fifth crash.
    size_t soundBefore = 0;
    size_t refusedBefore = 0;
    size_t soundDuring = 0;
    size_t refusedDuring = 0;
    double bytes = 0;    // Of the box that sent the most, a second.
    size_t records = 0;  // Of the box with the most.
};

struct Load {
    double soundPerSecond = 0;
    double badPerSecond = 0;
    double late = 0;            // Share of the frames that take up to 1.5 s.
    double lost = 0;            // Share of the frames that do not arrive.
    bool floodOfParts = false;  // Each sound request has a part of its own, too.
};

class Site {
public:
    Site(size_t boxes, size_t upstreams, Load load, uint64_t seed)
        : m_load(load), m_random(seed), m_boxes(boxes), m_upAt(upstreams), m_running(upstreams) {
        std::vector<std::string> addresses;
        for (size_t i = 0; i < boxes; ++i) {
            addresses.push_back("10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) +
                                ":1");
            m_byAddress[addresses.back()] = i;
        }
        for (size_t i = 0; i < boxes; ++i) {
            m_boxes[i] = std::make_unique<Box>();
            m_boxes[i]->address = addresses[i];
            BoxDirectory directory({addresses[i], "z"}, kMaxDialed);
            for (const std::string& other : addresses) {
                directory.learn({other, "z"}, m_now);
            }
            std::copy_if(addresses.begin(), addresses.end(), std::back_inserter(m_boxes[i]->linked),
                         [&](const std::string& other) {
                             return other != addresses[i] && directory.isNeighbour(other);
                         });
        }
    }

    Outcome play(Millis connected) {
        m_connected = connected;
        double sound = 0;
        double bad = 0;
        while (m_now.ms < kEnd) {
            m_now = m_now + kStep;
            for (sound += m_load.soundPerSecond * kStep / 1000; sound >= 1; --sound) {
                send(false);
            }
            for (bad += m_now.ms < kBadFrom ? 0 : m_load.badPerSecond * kStep / 1000; bad >= 1;
                 --bad) {
                send(true);
            }
            endRuns();
            deliverDue();
            if (m_now.ms % CrashExchange::kRoundPeriod == 0) {
                sendRounds();
            }
        }
        for (const auto& box : m_boxes) {
            m_outcome.bytes = std::max(m_outcome.bytes,
                                       static_cast<double>(box->bytes) * 1000 / (kEnd - kBadFrom));
        }
        return m_outcome;
    }

private:
    struct Box {
        RequestQuarantine quarantine;
        CrashExchange exchange{quarantine};
        std::string address;
        std::vector<std::string> linked;
        uint64_t bytes = 0;
    };
    struct Run {
        size_t box = 0;
        bool bad = false;
        MonoTime sent;
        MonoTime ends;
        std::vector<uint64_t> fingerprints;  // The request's own first.
    };
    struct Frame {
        MonoTime at;
        uint64_t order = 0;
        size_t from = 0;
        size_t to = 0;
        std::string bytes;
        bool operator<(const Frame& other) const {
            return std::pair(at.ms, order) > std::pair(other.at.ms, other.order);
        }
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    std::vector<uint64_t> fingerprintsOf(bool bad) {
        const uint64_t number = ++m_requests;
        std::vector<uint64_t> out = {HashPair(number, 1), PartFingerprint("first")};
        out.push_back(PartFingerprint(bad ? "bad" : "good" + std::to_string(m_random() % 20)));
        if (m_load.floodOfParts && !bad) {
            out.push_back(PartFingerprint("own" + std::to_string(number)));
        }
        return out;
    }

    void send(bool bad) {
        const size_t box = m_random() % m_boxes.size();
        const std::vector<uint64_t> fingerprints = fingerprintsOf(bad);
        const bool refused = m_boxes[box]->quarantine.causeOf(fingerprints, m_now).has_value();
        const bool isLate = m_fifth && m_now - *m_fifth > m_connected;
        if (!bad) {
            const bool isDuring = m_fifth && m_now - *m_fifth > 2 * m_connected;
            (isDuring ? m_outcome.soundDuring : m_outcome.soundBefore) += 1;
            (isDuring ? m_outcome.refusedDuring : m_outcome.refusedBefore) += refused ? 1 : 0;
        }
        if (refused) {
            return;
        }
        m_outcome.badLate += bad && isLate ? 1 : 0;
        std::vector<size_t> up;
        for (size_t i = 0; i < m_upAt.size(); ++i) {
            if (m_upAt[i] <= m_now) {
                up.push_back(i);
            }
        }
        if (up.empty()) {
            return;
        }
        const Millis runs = bad ? kBadRuns : kSoundRuns / 2 + Millis(uniform() * kSoundRuns);
        m_running[up[m_random() % up.size()]].push_back(
            {box, bad, m_now, m_now + runs, fingerprints});
    }

    void endRuns() {
        for (size_t i = 0; i < m_running.size(); ++i) {
            const bool crashes =
                std::any_of(m_running[i].begin(), m_running[i].end(),
                            [&](const Run& run) { return run.bad && run.ends <= m_now; });
            if (crashes) {
                crash(i);
                continue;
            }
            std::erase_if(m_running[i], [&](const Run& run) {
                if (run.ends > m_now) {
                    return false;
                }
                answer(run);
                return true;
            });
        }
    }

    void answer(const Run& run) {
        CrashExchange& exchange = m_boxes[run.box]->exchange;
        exchange.noteAnswer(run.fingerprints.front(), m_now);
        for (size_t i = 1; i < run.fingerprints.size(); ++i) {
            exchange.notePartAnswer(run.fingerprints[i], run.sent, m_now);
        }
    }

    void crash(size_t upstream) {
        ++m_outcome.crashes;
        if (m_outcome.crashes == kCrashesKnown) {
            m_fifth = m_now;
        }
        // As QuarantineController: each request, and each part once for a box.
        std::map<std::pair<size_t, uint64_t>, MonoTime> seen;
        for (const Run& run : m_running[upstream]) {
            for (const uint64_t fingerprint : run.fingerprints) {
                MonoTime& sent = seen[{run.box, fingerprint}];
                sent = std::max(sent, run.sent);
            }
        }
        for (const auto& [key, sent] : seen) {
            const auto id = static_cast<uint32_t>(m_random());
            m_boxes[key.first]->exchange.noteCrash(
                {key.second, id, ShortHash("u" + std::to_string(upstream)), sent, m_now}, m_now);
        }
        m_running[upstream].clear();
        m_upAt[upstream] = m_now + kDowntime;
    }

    void sendRounds() {
        for (size_t i = 0; i < m_boxes.size(); ++i) {
            Box& box = *m_boxes[i];
            if (!box.exchange.hasPending()) {
                continue;
            }
            for (const OutgoingFrame& outgoing :
                 box.exchange.makeRoundFrames(box.address, box.linked, m_now)) {
                for (const std::string& to : outgoing.to) {
                    box.bytes += outgoing.frame.size();
                    if (uniform() < m_load.lost) {
                        continue;
                    }
                    const bool late = uniform() < m_load.late;
                    const Millis transit = late ? Millis(uniform() * 1500) : 2;
                    m_frames.push(
                        {m_now + transit, ++m_order, i, m_byAddress.at(to), outgoing.frame});
                }
            }
        }
    }

    void deliverDue() {
        while (!m_frames.empty() && m_frames.top().at <= m_now) {
            const Frame frame = m_frames.top();
            m_frames.pop();
            const std::vector<char> content(frame.bytes.begin() + kFrameHeaderSize,
                                            frame.bytes.end());
            const auto body = DecodeFrame(content).value();
            m_boxes[frame.to]->exchange.handleReports(m_boxes[frame.from]->address,
                                                      *body.AsCrashReports(), m_now);
        }
    }

    Load m_load;
    std::mt19937_64 m_random;
    MonoTime m_now{0};
    Millis m_connected = 0;
    std::vector<std::unique_ptr<Box>> m_boxes;
    std::map<std::string, size_t> m_byAddress;
    std::vector<MonoTime> m_upAt;  // When each upstream is up again.
    std::vector<std::vector<Run>> m_running;
    std::priority_queue<Frame> m_frames;
    uint64_t m_order = 0;
    uint64_t m_requests = 0;
    std::optional<MonoTime> m_fifth;
    Outcome m_outcome;
};

}  // namespace

// Guards against boxes that go on sending a bad part of prompts, and against refusing the requests
// that share its other parts, at sites of any size, with late frames and floods of new parts.
TEST_CASE("All boxes know a part that crashes upstreams in time and condemn no other one",
          "[long]") {
    struct Size {
        size_t boxes;
        size_t upstreams;
        Millis connected;
    };
    const auto size =
        GENERATE(Size{6, 14, 3000}, Size{85, 60, 3000}, Size{295, 160, 5000}, Size{985, 600, 5000});
    const double disturbed = GENERATE(0.0, 1.0);
    const bool flood = GENERATE(false, true);
    const Load load{8.0 * static_cast<double>(size.boxes), 12, 0.1 * disturbed, 0.05 * disturbed,
                    flood};
    Site site(size.boxes, size.upstreams, load, size.boxes + (flood ? 1 : 0));
    const Outcome outcome = site.play(size.connected);
    INFO(size.boxes << " boxes, " << load.late << " late, flood " << flood << ": "
                    << outcome.crashes << " crashes, " << outcome.badLate
                    << " sent late, sound refused " << outcome.refusedBefore << " of "
                    << outcome.soundBefore << " and " << outcome.refusedDuring << " of "
                    << outcome.soundDuring << ", " << outcome.bytes << " bytes a second at most");
    CHECK(outcome.badLate <= kMostLate);
    CHECK(2 * outcome.refusedDuring <= outcome.soundDuring);
    CHECK(100 * outcome.refusedBefore <= outcome.soundBefore);
    CHECK(outcome.bytes <= kMaxBytes);
}
