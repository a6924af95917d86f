// The load tool: returning chats and keyed requests against a list of entry boxes, bounded in
// count and time. Checks every answer against what the engine stand-in must have said.
#pragma once

#include "include/net/HttpClient.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace onyx {

// What to send. Targets are loopback addresses.
struct LoadSettings {
    std::vector<Endpoint> targets;
    std::vector<std::string> tokens;  // One a team.
    std::string model = "desk-model";
    std::string keyedService;  // Empty: no keyed requests.
    int requests = 200;        // In all.
    int workers = 16;          // At a time.
    int chats = 40;            // Chats that return.
    int maxTokens = 24;
    double keyedShare = 0;  // Of the requests.
    double urgentShare = 0.2;
    Millis pause = 0;  // Between a worker's requests.
    Millis deadline = 15000;
    Millis mostTime = 120000;  // The run stops by then.
    int keyTries = 12;         // Tries of one key until its outcome is known.
    uint64_t seed = 1;
};

// What came back.
struct LoadReport {
    int answered = 0;
    int wrong = 0;    // Short, doubled, foreign or silently ended answers.
    int refused = 0;  // Explicit refusals.
    int failed = 0;   // No HTTP answer: a cut connection.
    int keysRan = 0;
    int keysNotRun = 0;
    int keysUnknown = 0;  // Still, after all tries.
    int keyTries = 0;
    uint64_t promptTokens = 0;
    uint64_t cachedTokens = 0;
    std::map<std::string, int> byEngine;
    std::map<std::string, int> byProblem;
    std::map<std::string, std::string> keys;  // Key to its last outcome.
    std::vector<Millis> firstByte;
    std::vector<std::string> wrongTexts;

    // The report as JSON. Preconditions: none.
    std::string json(bool withKeys) const;
};

// Not thread safe: one io_context.
class LoadRun {
public:
    // Preconditions: at least one target and one token; the context outlives the run.
    LoadRun(asio::io_context& io, LoadSettings settings);

    // Sends everything, then stops the context. Preconditions: called once.
    void start();

    // What came back so far. Preconditions: none.
    const LoadReport& report() const { return m_report; }

private:
    struct Chat {
        std::string id;
        size_t team = 0;
        int turns = 0;
    };

    Task<> worker(int number);
    Task<> chatRequest(size_t chat);
    Task<> keyedRequest();
    Task<std::string> tryKey(std::string key);
    void judgeChat(const HttpAnswer& answer, const std::string& prompt);
    void countProblem(const HttpAnswer& answer);
    const Endpoint& target() { return m_settings.targets[m_random() % m_settings.targets.size()]; }
    std::string freshKey();

    asio::io_context& m_io;
    LoadSettings m_settings;
    HttpClient m_http;
    LoadReport m_report;
    std::mt19937_64 m_random;
    std::vector<Chat> m_chats;
    std::set<size_t> m_busy;  // A chat has one request at a time.
    int m_sent = 0;
    int m_running = 0;
    MonoTime m_end;
};

}  // namespace onyx
