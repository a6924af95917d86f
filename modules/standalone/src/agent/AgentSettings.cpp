#include "modules/standalone/include/agent/AgentSettings.h"

namespace onyx {

AgentSettings AgentSettings::Read(SettingsReader& reader) {
    constexpr int64_t kHour = int64_t{3600} * 1000;
    AgentSettings settings;
    settings.box = reader.requiredText("box.name");
    settings.zone = reader.requiredText("box.zone");
    settings.platform = reader.address("platform.address");
    settings.router = reader.address("router.address");
    settings.logLevel = reader.text("log.level", "info");
    settings.watchWait = reader.number("platform.watch_ms", 25000, 100, kHour);
    settings.boxListPeriod = reader.number("platform.box_list_ms", 1000, 50, kHour);
    settings.retryPause = reader.number("platform.retry_pause_ms", 500, 10, kHour);
    return settings;
}

}  // namespace onyx
