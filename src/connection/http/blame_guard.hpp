#ifndef HICKORYGAP_CONNECTION_HTTP_BLAME_GUARD_HPP
#define HICKORYGAP_CONNECTION_HTTP_BLAME_GUARD_HPP

#include "request/blame/shared_blame_tracker.hpp"

namespace hickorygap
{

// RAII guard that reports the start and the end of one attempt to the blame
// tracker, however the attempt ends.
class blame_guard
{
public:
    blame_guard(
        shared_blame_tracker& tracker, backend_server_id backend_server,
        request_fingerprint fingerprint, bool isolated)
        : tracker_(tracker)
        , backend_server_(backend_server)
        , fingerprint_(fingerprint)
        , isolated_(isolated)
    {
        admitted_ = tracker_.with(
            [&](blame_tracker& blame)
            {
                return blame.on_sent(
                    backend_server_, fingerprint_, isolated_, unix_now());
            });
    }

    ~blame_guard()
    {
        if (admitted_)
        {
            tracker_.with(
                [&](blame_tracker& blame) {
                    blame.on_ended(
                        backend_server_, fingerprint_, isolated_, completed_);
                });
        }
    }

    blame_guard(const blame_guard&) = delete;
    blame_guard& operator=(const blame_guard&) = delete;

    // False when the request must not be sent now; see blame_tracker::on_sent.
    bool admitted() const
    {
        return admitted_;
    }

    void completed()
    {
        completed_ = true;
    }

    void backend_server_died()
    {
        tracker_.with(
            [&](blame_tracker& blame)
            {
                blame.on_backend_server_died(
                    backend_server_, fingerprint_, isolated_, unix_now());
            });
    }

private:
    shared_blame_tracker& tracker_;
    backend_server_id backend_server_;
    request_fingerprint fingerprint_;
    bool isolated_;
    bool admitted_ = false;
    bool completed_ = false;
};

} // namespace hickorygap

#endif
