// A replica of a plain service: works on a few requests at once, lets a few more wait, and declines
// further ones as not run. On demand a part of its answers is followed by a second copy, late, in
// the place of the next answer due on the connection.
#pragma once

#include "Site.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace onyx::review {

class DeskReplica {
public:
    // Listens on a loopback address. Errors: kUnavailable.
    static Result<std::unique_ptr<DeskReplica>> Make(asio::io_context& io, std::string id,
                                                     std::string service, std::string zone,
                                                     uint64_t seed);
    nlohmann::json object(const std::string& state = "ready") const;
    const std::string& id() const { return m_id; }
    Endpoint endpoint() const { return m_endpoint; }
    // The share of answers that get a second copy from now on. Preconditions: 0 <= share <= 1.
    void setSurplus(double share) { m_surplus = share; }
    void setSlots(int slots, int places) {
        m_slots = slots;
        m_places = places;
    }
    void setWork(Millis work) { m_work = work; }

    struct Run {
        MonoTime began;
        std::string id;
    };
    const std::vector<Run>& runs() const { return m_runs; }
    size_t declined() const { return m_declined; }
    size_t surplusSent() const { return m_surplusSent; }

private:
    DeskReplica(asio::io_context& io, Tcp::acceptor acceptor, std::string id, std::string service,
                std::string zone, uint64_t seed);
    Task<> serve(Tcp::socket socket);
    Task<std::string> answer(std::string requestId, std::string meant);
    std::string head(unsigned status, const std::string& requestId, const std::string& more,
                     size_t length) const;

    asio::io_context& m_io;
    Tcp::acceptor m_acceptor;
    Endpoint m_endpoint;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::minstd_rand m_random;
    double m_surplus = 0;
    int m_slots = 6;
    int m_places = 24;
    Millis m_work = 15;
    int m_working = 0;
    int m_waiting = 0;
    std::vector<Run> m_runs;
    size_t m_declined = 0;
    size_t m_surplusSent = 0;
};

}  // namespace onyx::review
