// The place of an attempt in services of thousands of upstreams.
#include "include/request/PlaceAttempt.h"

#include "include/base/Hash.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <iostream>
#include <map>

using namespace onyx;

namespace {

const ServiceId kModel("model");
const ServiceId kPlain("plain");
constexpr MonoTime kNow{1000000};

// What a box knows of a site with `models` upstreams of a model and a thirtieth as many plain ones.
class KnownSite {
public:
    explicit KnownSite(size_t models) : m_records(m_io.get_executor(), {}), m_upstreams(m_records) {
        m_settings.zone = "zone-0";
        UpstreamChanges changes;
        changes.whole = true;
        changes.revision = 1;
        for (size_t i = 0; i < models; ++i) {
            changes.changed.push_back(make("m-" + std::to_string(i), kModel, i));
        }
        for (size_t i = 0; i < models / 30 + 3; ++i) {
            changes.changed.push_back(make("p-" + std::to_string(i), kPlain, i));
        }
        m_upstreams.apply(changes, "test", kNow);
        m_records.setSite(985, 0.03);
        m_spec.name = kModel;
        m_spec.model = true;
    }

    std::optional<AttemptPlace> placeModel(const std::string& prompt, uint64_t draw) {
        const std::vector<std::string> parts = {prompt};
        const PlacementQuestion question{kModel, &m_spec, nullptr, nullptr, parts, m_tried, draw};
        return PlaceAttempt(knowledge(), question, kNow);
    }
    std::optional<AttemptPlace> placePlain(uint64_t draw) {
        const PlacementQuestion question{kPlain, nullptr, nullptr, nullptr, {}, m_tried, draw};
        return PlaceAttempt(knowledge(), question, kNow);
    }
    void remove(const std::string& id) {
        UpstreamChanges changes;
        changes.revision = 2;
        changes.removed.push_back(id);
        m_upstreams.apply(changes, "test", kNow);
    }

private:
    static Upstream make(const std::string& id, const ServiceId& service, size_t i) {
        Upstream upstream;
        upstream.id = id;
        upstream.service = service;
        upstream.address = "127.0.0.1:1";
        upstream.zone = ZoneId("zone-" + std::to_string(i % 5));
        upstream.slots = 64;
        return upstream;
    }
    PlacementKnowledge knowledge() { return {m_settings, m_upstreams, m_records, m_evacuations}; }

    boost::asio::io_context m_io;
    GatewaySettings m_settings;
    Metrics m_metrics;
    UpstreamRecords m_records;
    UpstreamList m_upstreams;
    EvacuationList m_evacuations{m_metrics};
    ServiceSpec m_spec;
    std::set<std::string> m_tried;
};

}  // namespace

// Guards against prompts that are read again on several upstreams, because boxes that know the same
// list compare different parts of it.
TEST_CASE("A prompt has the same first choice on all boxes, whatever is drawn") {
    KnownSite site(10000);
    for (int i = 0; i < 50; ++i) {
        const std::string prompt = "prompt-" + std::to_string(i);
        const auto first = site.placeModel(prompt, 1);
        REQUIRE(first);
        CHECK(first->reason == PlacementReason::kPreferred);
        CHECK(site.placeModel(prompt, 77 + i)->upstream.id == first->upstream.id);
    }
}

TEST_CASE("Prompts are spread over all upstreams of a large service") {
    KnownSite site(3000);
    std::map<std::string, int> prompts;
    for (int i = 0; i < 6000; ++i) {
        ++prompts[site.placeModel("prompt-" + std::to_string(i), 1)->upstream.id];
    }
    // With independent choices 86 in 100 upstreams would have a prompt, and the fullest 9 to 11.
    CHECK(prompts.size() > 2400);
    for (const auto& [id, count] : prompts) {
        CHECK(count <= 14);
    }
}

// Guards against prompts that all change their first choice when one upstream goes. Besides those
// that preferred it, a prompt changes if the upstream that takes its place among the candidates is
// its new first choice: one in 2,000 of all prompts.
TEST_CASE("The end of an upstream moves hardly more than the prompts that preferred it") {
    KnownSite site(2000);
    std::map<std::string, std::string> before;
    for (int i = 0; i < 400; ++i) {
        const std::string prompt = "prompt-" + std::to_string(i);
        before[prompt] = site.placeModel(prompt, 1)->upstream.id;
    }
    const std::string gone = before.at("prompt-0");
    site.remove(gone);
    int moved = 0;
    for (const auto& [prompt, upstream] : before) {
        const std::string now = site.placeModel(prompt, 1)->upstream.id;
        CHECK(now != gone);
        moved += upstream != gone && now != upstream ? 1 : 0;
    }
    CHECK(moved <= 3);
}

TEST_CASE("A plain request finds an upstream in its own zone in a service of any size") {
    const size_t models = GENERATE(as<size_t>(), 60, 10000, 20000);
    KnownSite site(models);
    for (uint64_t draw = 1; draw < 40; ++draw) {
        CHECK(site.placePlain(draw * 7919)->upstream.zone.value == "zone-0");
    }
}

// Prints the time of a choice as a ratio to that of the smallest service; asserts nothing.
TEST_CASE("Benchmark of the choice by size of the service", "[.benchmark]") {
    constexpr int kRequests = 400;
    double smallest = 0;
    for (const size_t models : {size_t{600}, size_t{3000}, size_t{10000}, size_t{20000}}) {
        KnownSite site(models);
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < kRequests; ++i) {
            site.placeModel("prompt-" + std::to_string(i), static_cast<uint64_t>(i));
        }
        const std::chrono::duration<double, std::micro> took =
            std::chrono::steady_clock::now() - start;
        const double each = took.count() / kRequests;
        smallest = smallest == 0 ? each : smallest;
        std::cout << models << " upstreams: " << each << " us, ratio " << each / smallest << "\n";
    }
}
