#pragma once

#include "protocol/irequestdialect.h"

namespace ivyspar {

/// The product's own interface for callers; docs/INTERFACES.md describes it.
class OwnRequestDialect : public IRequestDialect
{
public:
    const RuleSpec *findRule(const HttpRequest &request,
                             const Configuration &configuration) const override;
    tl::expected<CallerRequest, EarlyRefusal>
    read(const HttpRequest &request, const RequestOrigin &origin,
         const Configuration *configuration) const override;
    HttpResponse makeRefusal(RootId root, const Verdict &verdict,
                             std::uint32_t attempts) const override;
    void addResultHeaders(RootId root, std::uint32_t attempts,
                          HttpResponse &response) const override;
};

} // namespace ivyspar
