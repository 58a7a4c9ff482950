#pragma once

#include <memory>
#include <optional>
#include <string>

#include "app/settings.h"
#include "protocol/idocumentreader.h"
#include "protocol/ireportdialect.h"
#include "protocol/irequestdialect.h"
#include "protocol/iupstreamdialect.h"
#include "transport/ieventloop.h"
#include "transport/ikeyedlog.h"

namespace ivyspar {

/// The surroundings in which a daemon runs: how callers, upstreams and the platform's store speak.
/// Makes translators, which decide nothing. The functions may be called from any thread; what they
/// make belongs to the thread that asked.
class IPlatform
{
public:
    virtual ~IPlatform() = default;

    virtual std::unique_ptr<IRequestDialect> makeRequestDialect() const = 0;
    virtual std::unique_ptr<IUpstreamDialect> makeUpstreamDialect() const = 0;
    virtual std::unique_ptr<IReportDialect> makeReportDialect() const = 0;
    /// Reads configurations that stand as documents in a keyed log. Null: the configuration is
    /// folded from the product's own log.
    virtual std::unique_ptr<IDocumentReader> makeDocumentReader() const = 0;
    /// Null when `makeDocumentReader` gives null.
    virtual std::unique_ptr<IKeyedLog> makeKeyedLog(IEventLoop &loop,
                                                    const DaemonSettings &settings) const = 0;
    /// Reads again what the daemon was started with. Nothing when settings never change.
    virtual std::optional<SettingsResult<DaemonSettings>> rereadSettings() const = 0;
    /// Whether the settings have changed since they were read last.
    virtual bool haveSettingsChanged() const = 0;
};

/// The product's own interface, docs/INTERFACES.md.
std::unique_ptr<IPlatform> makeOwnPlatform();

} // namespace ivyspar
