#include "voter_cluster.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace hickorygap::test
{

namespace
{

constexpr duration client_timeout = std::chrono::seconds{4};

std::vector<std::uint8_t> bytes_of(std::string_view text)
{
    return {text.begin(), text.end()};
}

} // namespace

absl::StatusOr<digest> text_validator::validate(
    std::span<const std::uint8_t> document,
    std::span<const ticket_record> accepted) const
{
    static_cast<void>(accepted);
    if (!document.empty() && document.front() == '!')
    {
        return make_error(error_kind::ticket_invalid, "correct the ticket");
    }
    std::vector<std::uint8_t> canonical;
    std::ranges::copy_if(
        document, std::back_inserter(canonical),
        [](std::uint8_t byte) { return byte != ' '; });
    return sha256(canonical);
}

std::vector<std::uint8_t>
ticket_data(configuration_version number, std::string_view document)
{
    wire::ticket_entry_msg ticket;
    ticket.number = number;
    ticket.document = bytes_of(document);
    return encode_table<wire::ticket_entry>(ticket);
}

wire::call_intent_msg make_intent(
    std::string_view key, instance_id entry_instance, request_id request,
    std::uint8_t body)
{
    wire::call_intent_msg intent;
    intent.organisation = 1;
    intent.service = 2;
    intent.key = std::string{key};
    intent.request_digest.assign(digest{}.size(), body);
    intent.entry_instance = entry_instance;
    intent.entry_incarnation = 1;
    intent.request = request;
    return intent;
}

voter_cluster::voter_cluster(instance_id voters, std::uint64_t seed)
    : random_{seed}
    , network_{seed + 1}
{
    for (instance_id id = 1; id <= voters; ++id)
    {
        ids_.push_back(id);
        members_[id].disk = std::make_shared<memory_disk>();
    }
    for (const instance_id id : ids_)
    {
        restart(id);
    }
    for (const instance_id id : {11U, 12U})
    {
        proposal_client_options options;
        options.voters = ids_;
        options.seed = random_();
        entry_clients_[id].client = std::make_unique<proposal_client>(options);
    }
}

void voter_cluster::restart(instance_id id)
{
    member& self = members_.at(id);
    if (self.node)
    {
        return;
    }
    voter_options options;
    options.raft.self = id;
    options.raft.initial_voters = ids_;
    options.raft.seed = random_();
    options.raft.trailing_entries = 3;
    options.raft.max_message_bytes = 400;
    options.entries_per_snapshot = 10;
    auto opened = voter::open(
        options, std::make_unique<memory_log_storage>(self.disk),
        std::make_shared<text_validator>(), now_);
    if (!opened.ok())
    {
        record_violation(std::string{opened.status().message()});
        return;
    }
    self.node = *std::move(opened);
}

void voter_cluster::crash(instance_id id)
{
    member& self = members_.at(id);
    self.node.reset();
    self.hung_steps = 0;
    self.slow_disk_steps = 0;
}

void voter_cluster::lose_disk(instance_id id)
{
    crash(id);
    ++lost_disks_;
    members_.at(id).disk = std::make_shared<memory_disk>();
    restart(id);
}

bool voter_cluster::is_fully_replicated()
{
    const voter* first = leader();
    if (first == nullptr)
    {
        return false;
    }
    const std::uint64_t last = first->status().last_index;
    return std::ranges::all_of(
        members_,
        [&](const auto& item)
        {
            const member& self = item.second;
            if (!self.node)
            {
                return false;
            }
            const voter_status status = self.node->status();
            return status.votes && status.commit_index == last &&
                   status.voters.voters.size() == ids_.size();
        });
}

voter* voter_cluster::leader()
{
    voter* best = nullptr;
    for (auto& [id, self] : members_)
    {
        if (self.node && self.node->is_leader() &&
            (best == nullptr || self.node->term() > best->term()))
        {
            best = self.node.get();
        }
    }
    return best;
}

void voter_cluster::deliver(instance_id to, const wire::payloadUnion& payload)
{
    members_.at(to).node->receive(observer, payload, now_, clock(to));
}

bool voter_cluster::file_ticket(std::string_view document)
{
    configuration_version number = 0;
    for (int i = 0; i < 1500 && !accepted_.contains(number); ++i)
    {
        if (entry_clients_.at(11).requests.empty())
        {
            number = next_number();
            start_ticket(11, number, std::string{document});
        }
        step();
    }
    return accepted_.contains(number);
}

// The leader may have accepted tickets whose answers were lost.
configuration_version voter_cluster::next_number()
{
    const voter* first = leader();
    return std::max(
               first == nullptr ? 0 : first->status().version,
               accepted_.empty() ? 0 : accepted_.rbegin()->first) +
           1;
}

void voter_cluster::start_ticket(
    instance_id id, configuration_version number, std::string document)
{
    entry_client& self = entry_clients_.at(id);
    const std::uint64_t proposal = self.client->propose(
        wire::entry_kind::ticket, ticket_data(number, document), now_,
        now_ + client_timeout);
    self.requests[proposal] = {
        wire::entry_kind::ticket, number, std::move(document), 0};
}

void voter_cluster::start_intent(instance_id id, const std::string& key)
{
    entry_client& self = entry_clients_.at(id);
    const request_id call = random_();
    const std::uint64_t proposal = self.client->propose(
        wire::entry_kind::call_intent,
        encode_table<wire::call_intent>(make_intent(key, id, call)), now_,
        now_ + client_timeout);
    self.requests[proposal] = {wire::entry_kind::call_intent, 0, key, call};
}

void voter_cluster::start_outcome(
    instance_id id, const std::string& key, request_id call)
{
    wire::call_outcome_msg outcome;
    outcome.organisation = 1;
    outcome.service = 2;
    outcome.key = key;
    outcome.known = true;
    outcome.body = bytes_of(fmt::format("{}", call));
    outcome.request = call;
    entry_client& self = entry_clients_.at(id);
    const std::uint64_t proposal = self.client->propose(
        wire::entry_kind::call_outcome,
        encode_table<wire::call_outcome>(outcome), now_, now_ + client_timeout);
    self.requests[proposal] = {wire::entry_kind::call_outcome, 0, key, call};
}

void voter_cluster::start_read(instance_id id)
{
    entry_client& self = entry_clients_.at(id);
    const std::uint64_t read = self.client->read(now_, now_ + client_timeout);
    self.requests[read] = {
        wire::entry_kind::noop,
        accepted_.empty() ? 0 : accepted_.rbegin()->first, "", 0};
}

void voter_cluster::perform(std::uint8_t kind, std::uint8_t node)
{
    const instance_id id = ids_[node % ids_.size()];
    const instance_id client = 11 + node % 2;
    const configuration_version next = next_number();
    switch (kind % 17)
    {
    case 0:
        crash(id);
        break;
    case 1:
        crash(id);
        restart(id);
        break;
    case 2:
    case 3:
        for (const instance_id other : ids_)
        {
            restart(other);
            network_.heal(other);
        }
        break;
    case 4:
        network_.cut(id);
        break;
    case 5:
        members_.at(id).hung_steps = 100;
        break;
    case 6:
        members_.at(id).slow_disk_steps = 30;
        break;
    case 7:
        network_.set_faults(20, 20);
        break;
    case 8:
    case 9:
        if (is_fully_replicated())
        {
            lose_disk(id);
        }
        break;
    case 10:
        // Two clients file different tickets under the same number.
        start_ticket(11, next, fmt::format("a{}", random_()));
        start_ticket(12, next, fmt::format("b{}", random_()));
        break;
    case 11:
        start_ticket(client, next, fmt::format("ticket {}", next));
        break;
    case 12:
        start_ticket(client, 1 + random_below(random_, next), "ticket 1");
        break;
    case 13:
        start_intent(11, fmt::format("key {}", node % 4));
        start_intent(12, fmt::format("key {}", node % 4));
        break;
    case 14:
        members_.at(id).disk->full = !members_.at(id).disk->full;
        break;
    case 15:
        start_intent(client, fmt::format("key {}", node % 4));
        break;
    default:
        start_read(client);
        break;
    }
}

void voter_cluster::heal()
{
    network_.set_faults(0, 0);
    for (const instance_id id : ids_)
    {
        network_.heal(id);
        members_.at(id).hung_steps = 0;
        members_.at(id).slow_disk_steps = 0;
        members_.at(id).disk->full = false;
        restart(id);
    }
}

// The wall clocks of the instances differ by 5 s each.
unix_millis voter_cluster::clock(instance_id id) const
{
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(now_.since_start);
    return static_cast<unix_millis>(millis.count()) + id * 5000ULL;
}

void voter_cluster::run(int steps)
{
    for (int i = 0; i < steps && violation_.empty(); ++i)
    {
        step();
    }
}

void voter_cluster::step()
{
    now_ = now_ + std::chrono::milliseconds{20};
    for (const auto& item : network_.take_due(now_))
    {
        if (const auto client = entry_clients_.find(item.to);
            client != entry_clients_.end())
        {
            client->second.client->receive(item.from, item.payload, now_);
            continue;
        }
        member& self = members_.at(item.to);
        if (self.node && self.hung_steps == 0)
        {
            self.node->receive(item.from, item.payload, now_, clock(item.to));
        }
    }
    for (auto& [id, self] : members_)
    {
        if (!self.node || self.hung_steps > 0)
        {
            self.hung_steps = std::max(0, self.hung_steps - 1);
            continue;
        }
        self.node->tick(now_, clock(id));
        // A third of the syncs take longer than a step.
        if (self.slow_disk_steps > 0)
        {
            --self.slow_disk_steps;
        }
        else if (random_below(random_, 3) == 0)
        {
            self.slow_disk_steps = 1;
        }
        else if (const absl::Status status = self.node->flush();
                 !status.ok() && kind_of(status) != error_kind::storage_failed)
        {
            record_violation(std::string{status.message()});
        }
        for (const outgoing_message& message : self.node->take_outgoing())
        {
            const auto* reply =
                message_in<wire::propose_reply_msg>(message.payload);
            if (message.destination == observer && reply != nullptr)
            {
                observer_replies_.push_back(*reply);
                continue;
            }
            network_.send(id, message, now_);
        }
        for (const ticket_record& record : self.node->take_applied_tickets())
        {
            const auto [known, added] =
                chains_.try_emplace(record.number, record.chain);
            if (known->second != record.chain)
            {
                record_violation(fmt::format(
                    "ticket {} was applied with two contents", record.number));
            }
            self.node->set_target_voters(record.number, ids_);
        }
    }
    for (auto& [id, self] : entry_clients_)
    {
        self.client->tick(now_);
        for (const outgoing_message& message : self.client->take_outgoing())
        {
            network_.send(id, message, now_);
        }
        for (const proposal_result& result : self.client->take_results())
        {
            handle_result(id, result);
        }
    }
}

void voter_cluster::handle_result(instance_id id, const proposal_result& result)
{
    const auto item = entry_clients_.at(id).requests.extract(result.proposal);
    const request& sent_request = item.mapped();
    switch (sent_request.kind)
    {
    case wire::entry_kind::ticket:
        handle_ticket_result(sent_request, result);
        break;
    case wire::entry_kind::call_intent:
        handle_intent_result(id, sent_request, result);
        break;
    case wire::entry_kind::noop:
        if (result.status == wire::proposal_status::accepted)
        {
            ++reads_;
            if (result.version < sent_request.number)
            {
                record_violation(fmt::format(
                    "a read returned version {}, expected at least {}",
                    result.version, sent_request.number));
            }
        }
        break;
    default:
        break;
    }
}

void voter_cluster::handle_ticket_result(
    const request& sent_request, const proposal_result& result)
{
    if (result.status == wire::proposal_status::conflict)
    {
        const auto known = accepted_.find(sent_request.number);
        if (known != accepted_.end() &&
            known->second.document == bytes_of(sent_request.text))
        {
            record_violation(fmt::format(
                "accepted ticket {} was answered with a conflict",
                sent_request.number));
        }
    }
    if (result.status != wire::proposal_status::accepted)
    {
        return;
    }
    ticket_record record;
    record.number = result.version;
    record.document = result.recorded;
    record.accepted = result.accepted;
    const auto [known, added] =
        accepted_.try_emplace(sent_request.number, record);
    if (!(known->second == record) || record.number != sent_request.number ||
        record.document != bytes_of(sent_request.text))
    {
        record_violation(fmt::format(
            "ticket {} was accepted with two different answers",
            sent_request.number));
    }
}

void voter_cluster::handle_intent_result(
    instance_id id, const request& sent_request, const proposal_result& result)
{
    auto& permitted = permitted_requests_[sent_request.text];
    if (result.status == wire::proposal_status::accepted)
    {
        permitted.insert({id, sent_request.call});
        if (permitted.size() > 1)
        {
            record_violation(
                "two requests were permitted to run the call of " +
                sent_request.text);
        }
        start_outcome(id, sent_request.text, sent_request.call);
    }
    else if (result.status == wire::proposal_status::recorded)
    {
        const auto outcome = decode_table<wire::call_outcome>(result.recorded);
        const bool from_runner =
            outcome.ok() && permitted.size() == 1 &&
            outcome->body ==
                bytes_of(fmt::format("{}", permitted.begin()->second));
        if (!from_runner)
        {
            record_violation(
                "a retry got a response that differs from the recorded one");
        }
    }
}

void voter_cluster::check_histories()
{
    for (auto& [id, self] : members_)
    {
        const auto tickets = self.node->tickets();
        if (!verify_chain(tickets).ok())
        {
            record_violation(
                fmt::format("voter {} has an invalid ticket chain", id));
        }
        for (const auto& [number, record] : accepted_)
        {
            if (number > tickets.size() ||
                tickets[number - 1].document != record.document ||
                tickets[number - 1].accepted != record.accepted)
            {
                record_violation(fmt::format(
                    "voter {} lost or changed ticket {}", id, number));
            }
        }
    }
}

void voter_cluster::record_violation(std::string what)
{
    if (violation_.empty())
    {
        violation_ = std::move(what);
    }
}

} // namespace hickorygap::test
