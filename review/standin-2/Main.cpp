// Plays one case of this review: review-2-case NAME --gateway PROGRAM --dir FOLDER --record FILE
// [--quiet]. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
#include "Site.h"

#include <CLI/CLI.hpp>

#include <unistd.h>

#include <csignal>

using namespace onyx::review;

namespace {

constexpr unsigned kLimitSeconds = 115;  // No case takes longer.

// Ends this program and the boxes that it started, which are all processes of its group.
void EndAll(int) {
    ::kill(0, SIGKILL);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"One case of the review"};
    std::string name;
    CaseOptions options;
    bool quiet = false;
    app.add_option("name", name)->required();
    app.add_option("--gateway", options.gateway)->required();
    app.add_option("--dir", options.dir)->required();
    app.add_option("--record", options.record)->required();
    app.add_flag("--quiet", quiet, "Without the disruption");
    CLI11_PARSE(app, argc, argv);
    options.trouble = !quiet;
    ::setpgid(0, 0);
    for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGALRM}) {
        std::signal(number, EndAll);
    }
    ::alarm(kLimitSeconds);
    std::signal(SIGPIPE, SIG_IGN);
    onyx::asio::io_context io(1);
    if (name == "silent-store") {
        return RunSilentStore(io, options);
    }
    if (name == "clock-back") {
        return RunClockBack(io, options);
    }
    if (name == "silent-engine") {
        return RunSilentEngine(io, options);
    }
    if (name == "surplus") {
        return RunSurplus(io, options);
    }
    return kCannotRun;
}
