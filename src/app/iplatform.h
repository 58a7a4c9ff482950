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

/// The environment in which a daemon runs: creates the adapters for the protocols of callers,
/// upstreams and the platform's store. Adapters only translate and make no decisions. The functions
/// may be called from any thread; the returned objects belong to the calling thread.
class IPlatform
{
public:
    virtual ~IPlatform() = default;

    virtual std::unique_ptr<IRequestDialect> makeRequestDialect() const = 0;
    virtual std::unique_ptr<IUpstreamDialect> makeUpstreamDialect() const = 0;
    virtual std::unique_ptr<IReportDialect> makeReportDialect() const = 0;
    /// Reads configurations that are stored as documents in a keyed log. Null if the configuration
    /// is built from the records of the product's own log instead.
    virtual std::unique_ptr<IDocumentReader> makeDocumentReader() const = 0;
    /// Null if `makeDocumentReader` returns null.
    virtual std::unique_ptr<IKeyedLog> makeKeyedLog(IEventLoop &loop,
                                                    const DaemonSettings &settings) const = 0;
    /// Reads the daemon's settings again. Empty if settings cannot change at run time.
    virtual std::optional<SettingsResult<DaemonSettings>> rereadSettings() const = 0;
    /// Whether the settings have changed since they were last read.
    virtual bool haveSettingsChanged() const = 0;
};

/// The product's own interface, docs/INTERFACES.md.
std::unique_ptr<IPlatform> makeOwnPlatform();

} // namespace ivyspar
