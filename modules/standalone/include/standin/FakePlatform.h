// Stand-in for the platform's object API, for tests, the demo and a first run. Keeps everything
// in memory. POST /control sets faults; see docs/OPERATIONS.md.
#pragma once

#include "include/net/HttpServer.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace onyx {

// What the stand-in may be told to do wrong.
struct FakePlatformFaults {
    bool outage = false;  // Every call is refused with 503.
    int loseAnswers = 0;  // So many writes take effect and close the connection.
};

// Not thread safe: one io_context.
class FakePlatform {
public:
    struct Box {
        std::string name;
        std::string zone;
        std::string address;
        bool leaving = false;
    };

    explicit FakePlatform(asio::io_context& context) : m_context(context) {}

    // Adds a box to the list. Preconditions: none.
    void addBox(Box box);

    // Serves one request. Preconditions: called in a coroutine of the context.
    Task<> handle(HttpExchange& exchange);

private:
    struct Object {
        uint64_t version = 0;
        std::string value;
    };
    // A token bucket of one second.
    struct Rate {
        double left = 0;
        MonoTime at;
        bool take(double perSecond, MonoTime now);
    };

    Task<> handleObject(HttpExchange& exchange, std::string path, std::string query);
    Task<> handlePut(HttpExchange& exchange, std::string path, uint64_t expect);
    Task<> handleWatch(HttpExchange& exchange, std::string path, std::string query);
    Task<> handleBoxes(HttpExchange& exchange, std::string rest, std::string query);
    Task<> handleControl(HttpExchange& exchange);
    Task<> sendObject(HttpExchange& exchange, const Object& object);
    void relist();

    asio::io_context& m_context;
    FakePlatformFaults m_faults;
    std::map<std::string, Object> m_objects;
    std::map<std::string, Object> m_saved;  // For "restored to an older version".
    uint64_t m_lastVersion = 0;
    std::vector<Box> m_boxes;
    uint64_t m_listVersion = 1;
    Rate m_writeRate;
    Rate m_readRate;
    uint64_t m_calls = 0;
    uint64_t m_writes = 0;
    uint64_t m_refused = 0;
};

}  // namespace onyx
