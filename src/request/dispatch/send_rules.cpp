#include "request/dispatch/send_rules.hpp"

namespace hickorygap
{

namespace
{

// No server answers faster.
constexpr duration shortest_useful_time = std::chrono::milliseconds{20};

} // namespace

bool may_send_again(const send_history& history)
{
    return history.sends < history.max_sends &&
           (history.repeatable || !history.may_have_run) &&
           history.time_left > shortest_useful_time;
}

final_answer
final_answer_for(const send_history& history, dispatch_outcome last)
{
    if (history.stream_started)
    {
        return final_answer::cut;
    }
    if (!history.may_have_run)
    {
        return final_answer::not_run;
    }
    return last == dispatch_outcome::silent ? final_answer::timed_out
                                            : final_answer::broke_off;
}

} // namespace hickorygap
