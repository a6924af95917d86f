// The entry box's side of placement: which engine's home to ask next for one request. A pure
// state machine, one for each request.
#pragma once

#include "include/base/Ids.h"

#include <optional>
#include <set>
#include <span>
#include <vector>

namespace onyx {

// An engine that may serve the request, in the chat's order.
struct EngineChoice {
    EngineId engine;
    bool near = true;       // Asked before those that are not.
    bool saidFull = false;  // Its home's last digest said so: a hint, not a verdict.
};

// Next step of a placement.
struct PlacementAsk {
    EngineId engine;
    bool followNote = false;
    bool mayQueue = false;
    double meanHint = 0;  // Mean load of the engines that were full; with mayQueue only.
};

// Not thread safe: one task owns it.
class EntryPlacement {
public:
    static constexpr int kMostAsks = 8;  // Homes asked before the request queues.

    // `choices`: best first. Preconditions: no engine twice.
    explicit EntryPlacement(std::vector<EngineChoice> choices);

    // The next engine to ask, or nothing: give up. The first choice is asked first even if it is
    // said to be full, since its home may know where the chat went; then the other near
    // ones, then the far ones; last, the first choice again with leave to queue.
    // Preconditions: the last ask was answered by goTo(), exclude() or full().
    std::optional<PlacementAsk> next();

    // The home asked last says that the chat is known at `engine`. Preconditions: none.
    void goTo(const EngineId& engine);

    // The engine asked last is full with `load` in flight (0: not known). Preconditions: none.
    void full(int load);

    // Do not ask `engine` again: it or its home failed. Preconditions: none.
    void exclude(const EngineId& engine);

    // The chat's first choice, whose home keeps the note of where it went. Preconditions: at
    // least one choice.
    const EngineId& firstChoice() const { return m_choices.front().engine; }

    // Whether the first home must be told that `engine` served the chat: it did not say so itself.
    // Preconditions: at least one choice.
    bool needsNote(const EngineId& engine) const {
        return engine != firstChoice() && engine != m_pointedTo;
    }

    // Homes asked so far. Preconditions: none.
    int asks() const { return m_asks; }

private:
    enum class Phase { kFirst, kNear, kFar, kQueue, kDone };

    std::optional<PlacementAsk> ask(const EngineId& engine, bool followNote, bool mayQueue);
    std::optional<PlacementAsk> nextIn(bool near);

    std::vector<EngineChoice> m_choices;
    std::set<EngineId> m_asked;
    std::set<EngineId> m_excluded;
    std::optional<EngineId> m_noted;
    EngineId m_pointedTo;  // What the first home's note said.
    int m_fullLoad = 0;
    int m_fullEngines = 0;
    Phase m_phase = Phase::kFirst;
    int m_asks = 0;
};

}  // namespace onyx
