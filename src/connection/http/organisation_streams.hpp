#ifndef HICKORYGAP_CONNECTION_HTTP_ORGANISATION_STREAMS_HPP
#define HICKORYGAP_CONNECTION_HTTP_ORGANISATION_STREAMS_HPP

#include "common/ids.hpp"

#include <cstddef>
#include <mutex>
#include <unordered_map>

namespace hickorygap
{

// Counts the requests of each organisation that are served at once.
class organisation_streams
{
public:
    // Holds one place while it lives, if there was one.
    class place
    {
    public:
        place(organisation_streams& streams, organisation_id organisation);
        ~place();
        place(const place&) = delete;
        place& operator=(const place&) = delete;

        bool taken() const
        {
            return taken_;
        }

    private:
        organisation_streams& streams_;
        organisation_id organisation_;
        bool taken_;
    };

    explicit organisation_streams(std::size_t limit);

private:
    bool take(organisation_id organisation);
    void give_back(organisation_id organisation);

    const std::size_t limit_;
    std::mutex mutex_;
    std::unordered_map<organisation_id, std::size_t> running_;
};

} // namespace hickorygap

#endif
