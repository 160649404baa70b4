#include "process/control/control_node.hpp"

#include "common/logging.hpp"
#include "common/status_text.hpp"
#include "process/consensus/file_log_storage.hpp"
#include "process/control/document_validator.hpp"

#include <algorithm>
#include <array>
#include <filesystem>

namespace hickorygap
{

namespace
{

// Added to the instance's seed, so that the state machines draw independent
// random sequences.
enum seed_offset : std::uint64_t
{
    membership_seed = 1,
    version_seed = 2,
    proposal_seed = 3,
    placement_seed = 4,
    raft_seed = 5
};

constexpr std::array<std::string_view, 4> readiness_names{
    "ready", "starting", "cut_off", "draining"};

membership_options make_membership_options(const control_node_options& options)
{
    membership_options result;
    result.self = options.self;
    result.incarnation = options.incarnation;
    result.address = options.address;
    result.failure_domain = options.failure_domain;
    result.voter = std::ranges::count(options.voters, options.self) > 0;
    result.seeds = options.seeds;
    result.random_seed = options.seed + membership_seed;
    return result;
}

version_sync_options make_version_options(const control_node_options& options)
{
    version_sync_options result;
    result.self = options.self;
    result.random_seed = options.seed + version_seed;
    return result;
}

proposal_client_options
make_proposal_options(const control_node_options& options)
{
    proposal_client_options result;
    result.voters = options.voters;
    result.seed = options.seed + proposal_seed;
    return result;
}

placement_service_options
make_placement_options(const control_node_options& options)
{
    placement_service_options result;
    result.self = options.self;
    result.seed = options.seed + placement_seed;
    result.limits = options.cell_limits;
    return result;
}

version_document make_version_document(const ticket_record& record)
{
    version_document result;
    result.version = record.number;
    result.document = record.document;
    result.accepted = record.accepted;
    result.content_digest = record.canonical_digest;
    result.chain = record.chain;
    return result;
}

} // namespace

control_node::control_node(
    control_node_options options, shared_blame_tracker& blame,
    burn_windows& burn, const clock_reading& now)
    : options_(std::move(options))
    , quarantine_exchange_(options_.self, blame)
    , membership_(make_membership_options(options_), now.monotonic)
    , versions_(make_version_options(options_), now.monotonic)
    , proposals_(make_proposal_options(options_))
    , placement_(make_placement_options(options_))
    , readiness_rule_(options_.freshness)
    , burn_rate_exchange_(options_.self, burn)
    , voters_(options_.voters)
    , last_advance_(now.monotonic)
{
    membership_.set_voters(voters_);
}

absl::StatusOr<std::unique_ptr<control_node>> control_node::open(
    control_node_options options, shared_blame_tracker& blame,
    burn_windows& burn, const clock_reading& now)
{
    std::unique_ptr<control_node> node{
        new control_node{std::move(options), blame, burn, now}};
    absl::Status status;
    if (!node->options_.data_folder.empty())
    {
        status = node->open_storage(now);
    }
    if (status.ok())
    {
        status = node->open_decisions();
    }
    if (!status.ok())
    {
        return status;
    }
    return node;
}

absl::Status control_node::open_storage(const clock_reading& now)
{
    const std::filesystem::path folder{options_.data_folder};
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error)
    {
        return make_error(
            error_kind::storage_failed,
            fmt::format(
                "can't create the data folder {}: {}; check its path and "
                "permissions",
                options_.data_folder, error.message()));
    }
    auto log_file = version_log_file::open(folder / "versions");
    if (!log_file.ok())
    {
        return log_file.status();
    }
    version_log_ = std::move(*log_file);
    versions_.set_floor(version_log_->last_version());
    absl::Status restored = versions_.restore(version_log_->take_documents());
    if (!restored.ok())
    {
        return restored;
    }
    if (std::ranges::count(voters_, options_.self) == 0)
    {
        return absl::OkStatus();
    }
    return open_voter(now);
}

absl::Status control_node::open_decisions()
{
    decision_record_service_options record_options;
    record_options.self = options_.self;
    record_options.incarnation = options_.incarnation;
    record_options.recorder = options_.recorder;
    record_options.store = options_.decision_store_limits;
    // Records are stored on the voters: these have disks, and every instance
    // knows which instances they are.
    if (voter_ != nullptr)
    {
        record_options.folder = options_.data_folder + "/decisions";
    }
    auto opened = decision_record_service::open(std::move(record_options));
    if (!opened.ok())
    {
        return opened.status();
    }
    decisions_ = *std::move(opened);
    return absl::OkStatus();
}

absl::Status control_node::open_voter(const clock_reading& now)
{
    const std::filesystem::path folder{options_.data_folder};
    voter_options voting;
    voting.raft.self = options_.self;
    voting.raft.initial_voters = options_.voters;
    voting.raft.seed = options_.seed + raft_seed;
    voting.calls = options_.calls;
    auto opened = voter::open(
        std::move(voting),
        std::make_unique<file_log_storage>((folder / "log").string()),
        std::make_shared<document_validator>(), now.monotonic);
    if (!opened.ok())
    {
        return opened.status();
    }
    voter_ = std::move(*opened);
    voter_->set_acceptance_check([this]
                                 { return check_acceptance(last_advance_); });
    voter_->set_creation_check([this] { return check_creation(); });
    update_incarnation(options_.self, options_.incarnation);
    return absl::OkStatus();
}

// Prevents voters that have all lost their disks from starting a new, second
// history of tickets while other instances still hold the first.
absl::Status control_node::check_creation() const
{
    if (!options_.bootstrap)
    {
        return make_error(
            error_kind::settings_invalid,
            "this voter's log is empty and its settings do not allow a new "
            "fleet; restore its data folder, or set bootstrap for a new fleet");
    }
    const configuration_version known =
        std::max(versions_.version(), versions_.highest_announced());
    if (known == 0)
    {
        return absl::OkStatus();
    }
    return make_error(
        error_kind::storage_damaged,
        fmt::format(
            "the fleet has accepted ticket {} and all voters' logs are "
            "empty; restore the data folder of at least one voter",
            known));
}

// A higher incarnation means that the instance was restarted; the calls that
// its previous process had begun then have an unknown outcome. Uses the start
// of the process, not membership's incarnation, which also grows while a
// process runs.
void control_node::update_incarnation(
    instance_id from, incarnation_number incarnation)
{
    incarnation_number& known = incarnations_[from];
    if (incarnation > known)
    {
        known = incarnation;
        if (voter_ != nullptr)
        {
            voter_->set_oldest_incarnation(from, incarnation);
        }
    }
}

absl::Status control_node::check_acceptance(time_point now) const
{
    if (membership_.reaches_half_of_members(now, options_.freshness))
    {
        return absl::OkStatus();
    }
    return make_error(
        error_kind::no_quorum,
        fmt::format(
            "the leader hears only {} of {} members and accepts no ticket "
            "while it hears less than half; restore the network or wait until "
            "lost instances are forgotten",
            membership_.reachable_members(now, options_.freshness),
            membership_.counted_members()));
}

void control_node::receive(
    instance_id from, incarnation_number incarnation,
    const wire::payloadUnion& payload, const clock_reading& now)
{
    update_incarnation(from, incarnation);
    // Each component handles its own kinds of message and ignores the others.
    membership_.receive(from, incarnation, payload, now.monotonic);
    versions_.receive(from, payload, now.monotonic);
    proposals_.receive(from, payload, now.monotonic);
    placement_.receive(from, payload, now.monotonic);
    quarantine_exchange_.receive(payload, now);
    burn_rate_exchange_.receive(from, payload, now.monotonic);
    decisions_->receive(payload);
    if (voter_ != nullptr)
    {
        voter_->receive(from, payload, now.monotonic, now.unix_time);
    }
}

absl::Status control_node::advance(const clock_reading& now)
{
    last_advance_ = now.monotonic;
    membership_.tick(now.monotonic);
    versions_.tick(now.monotonic);
    proposals_.tick(now.monotonic);
    if (voter_ != nullptr)
    {
        voter_->tick(now.monotonic, now.unix_time);
        absl::Status flushed = voter_->flush();
        if (!flushed.ok() && kind_of(flushed) == error_kind::storage_damaged)
        {
            return flushed;
        }
        add_accepted_tickets();
    }
    absl::Status applied = apply_versions(now);
    if (!applied.ok())
    {
        return applied;
    }
    update_members(now);
    update_readiness(now);
    placement_.tick(now.monotonic);
    quarantine_exchange_.tick(membership_, live_members_, now);
    burn_rate_exchange_.tick(live_voters(), now.monotonic);
    decisions_->record(placement_.take_records(), now);
    decisions_->tick(now);
    return absl::OkStatus();
}

void control_node::add_accepted_tickets()
{
    for (const ticket_record& record : voter_->take_applied_tickets())
    {
        if (record.number <= versions_.version())
        {
            continue;
        }
        const absl::Status added = versions_.add(make_version_document(record));
        if (!added.ok())
        {
            log(log_level::error, subsystem::configuration,
                "ticket_rejected number={} reason=\"{}\"", record.number,
                message_of(added));
        }
    }
}

absl::Status control_node::apply_versions(const clock_reading& now)
{
    std::ranges::move(
        versions_.take_new_documents(), std::back_inserter(unapplied_));
    if (unapplied_.empty())
    {
        return absl::OkStatus();
    }
    if (version_log_ != nullptr)
    {
        const absl::Status written = version_log_->append(unapplied_);
        if (!written.ok())
        {
            log(log_level::error, subsystem::storage,
                "version_not_stored reason=\"{}\"", message_of(written));
            return absl::OkStatus();
        }
    }
    absl::Status applied = configuration_.apply(unapplied_, now.unix_time);
    unapplied_.clear();
    if (!applied.ok())
    {
        return make_error(
            error_kind::storage_damaged,
            fmt::format(
                "an accepted ticket can't be applied: {}; run the same "
                "release on all instances",
                message_of(applied)));
    }
    on_new_configuration(now);
    return absl::OkStatus();
}

void control_node::on_new_configuration(const clock_reading& now)
{
    const configuration_ptr current = configuration_.current();
    membership_.set_version(current->version(), configuration_.since());
    placement_.set_configuration(current, now.monotonic);
    const voter_change& change = configuration_.last_voter_change();
    if (voter_ != nullptr && change.ticket > 0)
    {
        voter_->set_target_voters(change.ticket, change.voters);
    }
    if (!current->voters().empty())
    {
        voters_.assign(current->voters().begin(), current->voters().end());
        membership_.set_voters(voters_);
        proposals_.set_voters(voters_);
    }
}

void control_node::update_members(const clock_reading& now)
{
    std::vector<instance_id> live = membership_.live_members(now.monotonic);
    const bool live_changed = live != live_members_;
    if (live_changed)
    {
        live_members_ = std::move(live);
        log(log_level::info, subsystem::membership, "live_members count={}",
            live_members_.size());
        decisions_->set_stores(live_voters());
    }
    std::vector<instance_id> owners = find_cell_owners();
    if (live_changed || owners != cell_owners_)
    {
        cell_owners_ = std::move(owners);
        placement_.set_members(cell_owners_, live_members_, now.monotonic);
    }
}

// Instances that are starting, draining or partitioned own no cells, unless no
// instance is ready.
std::vector<instance_id> control_node::find_cell_owners() const
{
    std::vector<instance_id> result;
    for (const wire::member_update_msg& member : membership_.members())
    {
        const bool ready = member.instance == options_.self
                               ? readiness_.load() == readiness::ready
                               : member.ready;
        if (ready && std::ranges::binary_search(live_members_, member.instance))
        {
            result.push_back(member.instance);
        }
    }
    return result.empty() ? live_members_ : result;
}

std::vector<instance_id> control_node::live_voters() const
{
    std::vector<instance_id> result;
    std::ranges::copy_if(
        live_members_, std::back_inserter(result),
        [this](instance_id id) { return std::ranges::count(voters_, id) > 0; });
    return result;
}

void control_node::update_readiness(const clock_reading& now)
{
    readiness_inputs inputs;
    inputs.version = configuration_.current()->version();
    inputs.highest_announced = versions_.highest_announced();
    inputs.reached_floor = versions_.reached_floor();
    inputs.reaches_voters = membership_.reaches_majority_of(
        voters_, now.monotonic, options_.freshness);
    inputs.reaches_half_of_members =
        membership_.reaches_half_of_members(now.monotonic, options_.freshness);
    inputs.draining = draining_;
    const readiness updated = readiness_rule_.update(inputs, now.monotonic);
    if (updated != readiness_.load())
    {
        log(log_level::info, subsystem::process,
            "readiness state={} hears_voters={} hears_half={} version={}",
            readiness_names.at(static_cast<std::size_t>(updated)),
            inputs.reaches_voters, inputs.reaches_half_of_members,
            inputs.version);
        readiness_.store(updated);
        membership_.set_ready(updated == readiness::ready);
        placement_.set_partitioned(
            updated == readiness::cut_off, now.monotonic);
    }
}

template <typename Component>
void control_node::collect_outgoing(Component& component)
{
    std::ranges::move(component.take_outgoing(), std::back_inserter(outgoing_));
}

std::vector<outgoing_message> control_node::take_outgoing()
{
    collect_outgoing(membership_);
    collect_outgoing(versions_);
    collect_outgoing(proposals_);
    collect_outgoing(placement_);
    collect_outgoing(quarantine_exchange_);
    collect_outgoing(burn_rate_exchange_);
    collect_outgoing(*decisions_);
    if (voter_ != nullptr)
    {
        collect_outgoing(*voter_);
    }
    return std::exchange(outgoing_, {});
}

void control_node::begin_drain(const clock_reading& now)
{
    draining_ = true;
    update_readiness(now);
    placement_.begin_handover(now.monotonic);
}

void control_node::leave(const clock_reading& now)
{
    decisions_->close(now);
    membership_.leave(now.monotonic);
}

std::vector<std::string>
control_node::conditions(const clock_reading& now) const
{
    std::vector<std::string> result;
    if (!membership_.reaches_majority_of(
            voters_, now.monotonic, options_.freshness))
    {
        result.emplace_back("no majority of the voters is heard");
    }
    if (current_readiness() == readiness::cut_off)
    {
        result.emplace_back(
            "this instance may miss tickets and refuses new work");
    }
    if (versions_.version() < versions_.highest_announced())
    {
        result.push_back(fmt::format(
            "version {} has been announced and is not applied here yet",
            versions_.highest_announced()));
    }
    if (voter_ != nullptr && !voter_->status().storage.ok())
    {
        result.push_back(
            fmt::format("storage: {}", message_of(voter_->status().storage)));
    }
    return result;
}

} // namespace hickorygap
