#pragma once

#include <map>
#include <utility>
#include <vector>

#include "app/internal/gate/igateservice.h"

namespace ivyspar {

/// Holds the calls until the test answers them.
class FakeGateService : public IGateService
{
public:
    std::map<CallId, std::pair<CallMessage, Reply>> calls;
    std::vector<CallId> cancelled;

    CallId handle(CallMessage call, CallSource /*source*/, Reply reply) override
    {
        const CallId id(++m_lastCall);
        calls.emplace(id, std::make_pair(std::move(call), std::move(reply)));
        return id;
    }

    void cancel(CallId call) override { cancelled.push_back(call); }
    std::optional<CallContext> findContext(const std::string & /*token*/) const override
    {
        return std::nullopt;
    }
    InferredContext inferContext(ConnectionTally & /*tally*/, const RuleName & /*rule*/,
                                 TimePoint /*deadline*/, RequestSender /*sender*/) override
    {
        return {};
    }
    void onInnerAnswer(const RuleName & /*rule*/) override { }
    void recordUsage(CallTree &tree, const TreeUsage &usage) override
    {
        addUsage(tree.usage, usage);
    }
    LoadReport load(const ServiceName & /*service*/) const override { return {}; }

    void answer(CallId id, ResponseMessage message)
    {
        const Reply reply = std::move(calls.at(id).second);
        message.stream = calls.at(id).first.stream;
        calls.erase(id);
        reply(std::move(message));
    }

private:
    std::uint64_t m_lastCall = 0;
};

} // namespace ivyspar
