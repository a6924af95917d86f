// Replays traces that the routers recorded in runs with a fault in them (tests/process, with
// KEEP_TRACES). The same events must lead to the same actions, and to the outcome that stands
// beside the trace in `outcome`: lines "MEASURE RELATION NUMBER", and the same behind
// "without RULE" for a replay with one rule of the owners taken out.
#include "modules/standalone/include/router/KeyTrace.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>

using namespace onyx;
using nlohmann::json;

namespace {

using Measures = std::map<std::string, int64_t>;

// Everything that a replay of one run, all boxes together, brought to light.
class Replay {
public:
    explicit Replay(std::string ruleOut) : m_ruleOut(std::move(ruleOut)) {}

    void file(const std::filesystem::path& path) {
        std::ifstream in(path);
        std::string line;
        while (std::getline(in, line)) {
            const json record = json::parse(line);
            if (record.contains("member")) {
                startLife(record);
            } else if (record.contains("dispatched")) {
                ++m_dispatched[record["dispatched"]["key"].get<std::string>()];
            } else {
                step(record);
            }
        }
    }

    Measures measures() const {
        Measures measures = m_measures;
        measures["keys"] = static_cast<int64_t>(m_keys.size());
        for (const auto& [key, count] : m_dispatched) {
            measures["dispatched"] += count;
            measures["dispatched_twice"] += count > 1 ? 1 : 0;
            measures["dispatched_after_not_run"] += m_notRun.contains(key) ? 1 : 0;
        }
        for (const auto& [key, lives] : m_startedBy) {
            measures["started_twice"] += lives.size() > 1 ? 1 : 0;
        }
        return measures;
    }

private:
    void startLife(const json& record) {
        KeeperSettings settings = KeeperSettingsFromJson(record["settings"]);
        settings.rules.mint = m_ruleOut != "mint";
        settings.rules.lease = m_ruleOut != "lease";
        settings.rules.consent = m_ruleOut != "consent";
        settings.rules.revoke = m_ruleOut != "revoke";
        m_owner.emplace(MemberId(record["member"].get<std::string>()), settings, LedgerSettings{});
        ++m_life;
        m_keyOf.clear();
        ++m_measures["lives"];
    }

    void step(const json& record) {
        const Now now{{record["t"].get<Millis>()}, {record["w"].get<Millis>()}};
        const KeyEvent event = KeyEventFromJson(record["event"]);
        if (const auto* ask = std::get_if<KeyAsk>(&event)) {
            m_keys.insert(ask->key);
            m_keyOf[ask->request] = ask->key;
        }
        const std::vector<KeyAction> actions = m_owner->step(event, now);
        json made = json::array();
        for (const KeyAction& action : actions) {
            made.push_back(KeyActionToJson(action));
            note(action);
        }
        const json recorded = record.value("actions", json::array());
        m_measures["steps"] += 1;
        m_measures["steps_that_differ"] += made == recorded ? 0 : 1;
    }

    void note(const KeyAction& action) {
        if (const auto* run = std::get_if<RunKey>(&action)) {
            m_startedBy[run->key].insert(m_life);
        } else if (const auto* refused = std::get_if<KeyRefused>(&action)) {
            const bool notRun = refused->refusal.outcome == RunOutcome::kNotRun;
            ++m_measures[notRun ? "answers_not_run" : "answers_unknown"];
            if (notRun) {
                m_notRun.insert(m_keyOf[refused->request]);
            }
        } else if (std::holds_alternative<KeyRan>(action)) {
            ++m_measures["answers_ran"];
        } else if (const auto* keeper = std::get_if<KeeperAction>(&action)) {
            m_measures["epochs_taken"] += std::holds_alternative<EpochTaken>(*keeper) ? 1 : 0;
            m_measures["rejoined"] += std::holds_alternative<Rejoined>(*keeper) ? 1 : 0;
        }
    }

    std::string m_ruleOut;
    std::optional<KeyOwner> m_owner;
    int m_life = 0;
    std::map<uint64_t, std::string> m_keyOf;
    std::set<std::string> m_keys;
    std::set<std::string> m_notRun;
    std::map<std::string, int> m_dispatched;
    std::map<std::string, std::set<int>> m_startedBy;
    Measures m_measures;
};

Measures ReplayRun(const std::filesystem::path& folder, const std::string& ruleOut) {
    Replay replay(ruleOut);
    std::set<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == ".trace") {
            files.insert(entry.path());
        }
    }
    for (const auto& file : files) {
        replay.file(file);
    }
    return replay.measures();
}

void CheckOutcome(const std::filesystem::path& folder) {
    std::ifstream in(folder / "outcome");
    std::map<std::string, Measures> replays;
    std::string line;
    int checked = 0;
    while (std::getline(in, line)) {
        if (line.empty() || line.front() == '#') {
            continue;
        }
        std::istringstream words(line);
        std::string ruleOut;
        std::string measure;
        std::string relation;
        int64_t number = 0;
        words >> measure;
        if (measure == "without") {
            words >> ruleOut >> measure;
        }
        words >> relation >> number;
        if (!replays.contains(ruleOut)) {
            replays[ruleOut] = ReplayRun(folder, ruleOut);
        }
        const int64_t found = replays[ruleOut][measure];
        INFO(folder.filename().string() << ": " << line << ", found " << found);
        const bool holds = relation == "=" ? found == number : found >= number;
        CHECK(holds);
        ++checked;
    }
    CHECK(checked > 0);
}

}  // namespace

TEST_CASE("Recorded runs with faults replay to their outcomes") {
    int runs = 0;
    const std::filesystem::path traces = std::string(ONYX_SOURCE_DIR) + "/tests/traces";
    for (const auto& entry : std::filesystem::directory_iterator(traces)) {
        CheckOutcome(entry.path());
        ++runs;
    }
    CHECK(runs >= 3);
}
