#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_DELIVERY_STATE_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_DELIVERY_STATE_HPP

#include <optional>

namespace hickorygap
{

// Which version of a document the peer of one link holds, by its reports and by
// what was sent over the link, which delivers it or ends. Versions are ordered;
// the initial one stands for no document.
template <typename Version>
class delivery_state
{
public:
    // The peer reports what it holds. A report that was sent before a delivery
    // arrived changes nothing.
    void on_report(Version held)
    {
        if (sent_ && held < sent_->version &&
            (held == sent_->base || sent_->base == Version{}))
        {
            return;
        }
        sent_.reset();
        held_ = held;
    }

    // A change from base to version was sent; the initial version as base
    // stands for the whole document.
    void on_sent(Version base, Version version)
    {
        sent_ = delivery{base, version};
    }

    // Whether the peer lacks the version and it is not on the way.
    bool needs(Version version) const
    {
        return held_ < version && !(sent_ && sent_->version >= version);
    }

    // What the peer holds once everything sent has arrived.
    Version held() const
    {
        return sent_ ? sent_->version : held_;
    }

private:
    struct delivery
    {
        Version base{};
        Version version{};
    };

    Version held_{};
    std::optional<delivery> sent_;
};

} // namespace hickorygap

#endif
