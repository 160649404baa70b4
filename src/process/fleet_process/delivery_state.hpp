#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_DELIVERY_STATE_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_DELIVERY_STATE_HPP

#include <optional>

namespace hickorygap
{

// Tracks which version of a document the peer of one link holds, from its
// reports and from what was sent over the link. The link is reliable: it
// delivers what was sent or it ends. Versions are ordered; the default value
// means that the peer has no document.
template <typename Version>
class delivery_state
{
public:
    // The peer reports the version that it holds. A report that the peer sent
    // before the last delivery arrived is ignored.
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

    // A delta from base to version was sent; the default value as base means
    // that the whole document was sent.
    void on_sent(Version base, Version version)
    {
        sent_ = delivery{base, version};
    }

    // Whether the peer lacks the version and it is not in transit either.
    bool needs(Version version) const
    {
        return held_ < version && !(sent_ && sent_->version >= version);
    }

    // The version that the peer holds once everything sent has arrived.
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
