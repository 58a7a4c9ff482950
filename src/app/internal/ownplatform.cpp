#include "app/iplatform.h"
#include "protocol/owndialects.h"

namespace ivyspar {

namespace {

class OwnPlatform : public IPlatform
{
public:
    std::unique_ptr<IRequestDialect> makeRequestDialect() const override
    {
        return makeOwnRequestDialect();
    }
    std::unique_ptr<IUpstreamDialect> makeUpstreamDialect() const override
    {
        return makeOwnUpstreamDialect();
    }
    std::unique_ptr<IReportDialect> makeReportDialect() const override
    {
        return makeOwnReportDialect();
    }
    std::unique_ptr<IDocumentReader> makeDocumentReader() const override { return nullptr; }
    std::unique_ptr<IKeyedLog> makeKeyedLog(IEventLoop & /*loop*/,
                                            const DaemonSettings & /*settings*/) const override
    {
        return nullptr;
    }
    /// The flags and environment variables of a process do not change after its start.
    std::optional<SettingsResult<DaemonSettings>> rereadSettings() const override
    {
        return std::nullopt;
    }
    bool haveSettingsChanged() const override { return false; }
};

} // namespace

std::unique_ptr<IPlatform> makeOwnPlatform()
{
    return std::make_unique<OwnPlatform>();
}

} // namespace ivyspar
