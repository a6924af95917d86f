#include "include/membership/AnnouncedBoxes.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace onyx;

namespace {

constexpr size_t kMaxDialed = 16;

KnownBox BoxOf(size_t number) {
    return {"10.0." + std::to_string(number / 200) + "." + std::to_string(number % 200) + ":70",
            "z"};
}

// Boxes that start at the same moment, know only the seeds, and announce boxes to each other in
// rounds of 0.5 s, as PeerMesh does.
class StartingSite {
public:
    explicit StartingSite(size_t count) : m_announced(count), m_links(count) {
        for (size_t i = 0; i < count; ++i) {
            m_boxes.emplace_back(BoxOf(i), kMaxDialed);
            for (size_t seed = 0; seed < kSeeds; ++seed) {
                m_boxes.back().learn(BoxOf(seed), {0});
            }
        }
    }

    void round() {
        for (size_t i = 0; i < m_boxes.size(); ++i) {
            const std::vector<KnownBox> newcomers = m_boxes[i].takeNewBoxes();
            for (const size_t peer : std::set<size_t>(m_links[i])) {
                announce(i, peer, newcomers);
            }
            for (const std::string& address : m_boxes[i].boxesToDial(m_links[i].empty())) {
                link(i, numberOf(address));
            }
        }
    }

    bool allKnown() const {
        return std::all_of(m_boxes.begin(), m_boxes.end(), [this](const BoxDirectory& box) {
            return box.size() == m_boxes.size();
        });
    }
    size_t entries() const { return m_entries; }
    size_t links() const { return m_linksOpened; }

private:
    static constexpr size_t kSeeds = 3;

    size_t numberOf(const std::string& address) const {
        size_t i = 0;
        while (BoxOf(i).address != address) {
            ++i;
        }
        return i;
    }

    void link(size_t from, size_t to) {
        if (from == to || !m_links[from].insert(to).second) {
            return;
        }
        ++m_linksOpened;
        m_links[to].insert(from);
        m_announced[from].linkOpened(BoxOf(to));
        m_announced[to].linkOpened(BoxOf(from));
        m_boxes[from].noteContact(BoxOf(to), {0});
        m_boxes[to].noteContact(BoxOf(from), {0});
        announce(from, to, m_boxes[from].all());
        announce(to, from, m_boxes[to].all());
    }

    void announce(size_t from, size_t to, const std::vector<KnownBox>& boxes) {
        for (const KnownBox& box : m_announced[from].takeUnannounced(BoxOf(to).address, boxes)) {
            ++m_entries;
            m_boxes[to].learn(box, {0});
            m_announced[to].noteAnnounced(BoxOf(from).address, box);
        }
    }

    std::vector<BoxDirectory> m_boxes;
    std::vector<AnnouncedBoxes> m_announced;
    std::vector<std::set<size_t>> m_links;
    size_t m_entries = 0;
    size_t m_linksOpened = 0;
};

}  // namespace

TEST_CASE("A box is announced once over a link, and not to the peer that announced it") {
    AnnouncedBoxes announced;
    const std::vector<KnownBox> boxes{BoxOf(1), BoxOf(2), BoxOf(3)};
    CHECK(announced.takeUnannounced(BoxOf(1).address, boxes).empty());
    announced.linkOpened(BoxOf(1));
    announced.noteAnnounced(BoxOf(1).address, BoxOf(2));
    CHECK(announced.takeUnannounced(BoxOf(1).address, boxes) == std::vector<KnownBox>{BoxOf(3)});
    CHECK(announced.takeUnannounced(BoxOf(1).address, boxes).empty());
    // A box whose zone becomes known is announced again; a new link starts without a record.
    const std::vector<KnownBox> moved{{BoxOf(3).address, "other"}};
    CHECK(announced.takeUnannounced(BoxOf(1).address, moved).size() == 1);
    announced.linkClosed(BoxOf(1).address);
    CHECK(announced.takeUnannounced(BoxOf(1).address, boxes).empty());
    announced.linkOpened(BoxOf(1));
    CHECK(announced.takeUnannounced(BoxOf(1).address, boxes).size() == 2);
}

// Each box has to be announced at most once over each link, by either end. Guards against both ends
// of a link sending their whole lists, and each new box once more.
TEST_CASE("Boxes that start together know each other soon, each announced once over a link") {
    constexpr size_t kBoxes = 120;
    StartingSite site(kBoxes);
    int rounds = 0;
    while (!site.allKnown() && rounds < 40) {
        site.round();
        ++rounds;
    }
    site.round();
    CHECK(site.allKnown());
    CHECK(rounds <= 20);
    CHECK(site.entries() <= site.links() * kBoxes);
}
