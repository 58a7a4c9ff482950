#pragma once

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/list_hook.hpp>

namespace ivyspar {

/// A request whose caller still waits for the response. Leaves its list when it is destroyed.
class UnansweredRequest : public boost::intrusive::list_base_hook<
                              boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    virtual ~UnansweredRequest() = default;

    /// Ends the request, as the daemon is about to exit.
    virtual void endForStop() = 0;
};

using UnansweredRequests =
    boost::intrusive::list<UnansweredRequest, boost::intrusive::constant_time_size<false>>;

} // namespace ivyspar
