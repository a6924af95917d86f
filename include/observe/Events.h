// Module observe: what a process says of itself, in log lines and metrics, and the report on error
// budgets. It owns the log's queue and the series, and relies on base.
//
// Numbered log events. Every line that a process logs is one of these; docs/EVENTS.md says what
// each means and what to do.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace onyx {

// The catalogue. Numbers are never reused; docs/EVENTS.md and a test keep the two lists equal.
enum class Event : uint16_t {
    kStarted = 1000,
    kStopping = 1001,
    kTaskFailed = 1002,
    kListenFailed = 1004,
    kPeerUp = 1100,
    kPeerDown = 1101,
    kFrameBad = 1102,
    kPeerVersion = 1103,
    kPeerSite = 1104,
    kFrameUnknown = 1105,
    kHomesChanged = 1110,
    kConfigInForce = 1200,
    kConfigStale = 1201,
    kConfigCorrupt = 1202,
    kConfigFromPeer = 1203,
    kPlatformDown = 1300,
    kPlatformUp = 1301,
    kLeaseHeld = 1400,
    kLeaseLost = 1401,
    kRosterChanged = 1402,
    kTakeover = 1403,
    kStreamResumed = 1500,
    kStreamBroken = 1501,
    kAnswerCrossed = 1502,
    kEngineLeaving = 1503,
    kEngineDown = 1504,
    kPreempted = 1505,
    kDrainStarted = 1700,
    kDrainDone = 1701,
    kFaultSet = 1900,
    kRequestDone = 2000,
    kRequestRefused = 2001,
    kAttemptEnded = 2002,
    kCallerBad = 2003,
    kAttemptStarted = 2004,
    kConnectionDropped = 2005,
    kAnswerHeadBad = 2006,
    kRequestQuarantined = 2007,
    kAllLeftOut = 2008,
    kRequestRelayed = 2009,
    kStreamTakenUp = 2010,
    kRequestNoRoom = 2011,
    kCrashEvidence = 2012,
    kCallerClosed = 2013,
    kUpstreamChanged = 2100,
    kUpstreamEjected = 2101,
    kObjectBad = 2102,
    kUpstreamsListed = 2103,
    kUpstreamRestarted = 2104,
    kUpstreamCrashed = 2105,
    kUpstreamBacksOff = 2106,
    kUpstreamLeaves = 2107,
    kUpstreamCold = 2108,
    kZoneEvacuated = 2109,
    kRolloutOrdered = 2110,
    kRolloutStage = 2111,
    kRolloutStatus = 2112,
    kServiceReach = 2113,
    kServiceRoom = 2114,
    kStreamVersions = 2115,
    kStoreDown = 2200,
    kStoreUp = 2201,
    kCatalogInForce = 2202,
    kFollowing = 2203,
    kServingStale = 2204,
    kStoreCall = 2205,
    kReadiness = 2300,
    kReloaded = 2301,
};

// One field of an event.
struct EventField {
    std::string_view name;
    std::string value;
};

// Name of the event as it stands in docs/EVENTS.md. Thread safety: any thread.
std::string_view EventName(Event event);

// Logs `event` through spdlog as one structured line. Thread safety: any thread.
void logEvent(Event event, std::initializer_list<EventField> fields);

// Sets up spdlog for this process: structured lines on standard error, tagged with `process`.
// Preconditions: called once, before other threads start. Thread safety: none.
void SetUpLog(std::string_view process, std::string_view level);

// Sends the log to standard output through a bounded queue that never blocks: under a flood the
// oldest lines give way. Preconditions: called once, before the first event. Thread safety: none.
void SetUpAsyncLog(std::string_view process, std::string_view level);

// Writes what its reader takes within 150 ms, and ends the log. Preconditions: no event follows.
void FlushLog();

}  // namespace onyx
