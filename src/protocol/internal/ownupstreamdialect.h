#pragma once

#include "protocol/iupstreamdialect.h"

namespace ivyspar {

/// The product's own interface for upstreams; docs/INTERFACES.md describes it.
class OwnUpstreamDialect : public IUpstreamDialect
{
public:
    void prepareRequest(const UpstreamSend &send, HttpRequest &request) const override;
    UpstreamResponseKind classify(const HttpResponse &response) const override;
    void removeInternalHeaders(HttpResponse &response) const override;
    LoadStatement readLoad(const HttpResponse &response) const override;
    ResponseNotice readNotice(const HttpResponse &response) const override;
    std::string echoHeader() const override { return {}; }
    UpstreamId readInstance(const HttpResponse &response) const override;
};

} // namespace ivyspar
