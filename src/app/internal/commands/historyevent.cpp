#include "app/internal/commands/historyevent.h"

#include <utility>

namespace ivyspar {

std::string HistoryEvent::text(const char *field) const
{
    const auto found = fields.find(field);
    return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::optional<HistoryEvent> parseHistoryEvent(const std::string &line)
{
    const std::size_t start = line.find('{');
    if (start == std::string::npos) {
        return std::nullopt;
    }
    auto fields = nlohmann::ordered_json::parse(line.begin() + static_cast<std::ptrdiff_t>(start),
                                                line.end(), nullptr, false);
    const bool isEvent = fields.is_object() && fields.contains("event")
        && fields["event"].is_string() && fields.contains("time") && fields["time"].is_string();
    if (!isEvent) {
        return std::nullopt;
    }
    HistoryEvent event;
    event.fields = std::move(fields);
    event.time = event.text("time");
    event.daemon = event.text("daemon");
    event.event = event.text("event");
    for (const char *name : { "time", "daemon", "event" }) {
        event.fields.erase(name);
    }
    return event;
}

} // namespace ivyspar
