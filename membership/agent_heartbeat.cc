#include "membership/agent_heartbeat.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "membership/entry_choice.h"

namespace cuminjunction {

namespace {

UdpAddress AddressOf(const EntryContact& entry) {
  return {entry.host, entry.port};
}

}  // namespace

AgentHeartbeat::AgentHeartbeat(EventThread* thread,
                               const HeartbeatOptions& options,
                               AgentListener listener,
                               Metrics* metrics)
    : options(options),
      listener(std::move(listener)),
      self(options.self),
      socket(&thread->Context(), metrics),
      heartbeat_timer(thread->Context()),
      leave_timer(thread->Context()) {}

Status AgentHeartbeat::Open() {
  BOOST_OUTCOME_TRY(this->socket.Open(
      {this->self.host, this->self.port},
      [this](Datagram message, const UdpAddress& from) {
        if (const auto* received = std::get_if<Acknowledgement>(&message))
          this->OnAcknowledgement(*received, from);
      }));
  this->self.port = this->socket.Port();
  if (this->self.incarnation == 0)
    this->self.incarnation = absl::ToUnixMillis(SystemClock().Now());
  const absl::Time now = this->clock.Now();
  this->ChooseContacts(now);
  this->SendHeartbeats();
  // The phase spreads the agents of a fleet that starts at once.
  const auto phase = static_cast<int64_t>(HashName(this->self.name) %
                                          this->options.heartbeat_interval_ms);
  this->ScheduleHeartbeat(now + absl::Milliseconds(phase));
  return Ok();
}

void AgentHeartbeat::Close() {
  this->heartbeat_timer.cancel();
  this->leave_timer.cancel();
  this->socket.Close();
}

std::vector<EntryContact> AgentHeartbeat::Contacts() const {
  std::vector<EntryContact> out;
  for (const auto& [address, contact] : this->contacts)
    out.push_back(contact.entry);
  return out;
}

void AgentHeartbeat::SetConfigVersion(uint64_t version) {
  this->self.config_version = version;
}

void AgentHeartbeat::SetUpstreamDown(bool is_down) {
  const MemberState state =
      is_down ? MemberState::kUpstreamDown : MemberState::kAlive;
  const bool has_departed = this->self.state == MemberState::kLeaving ||
                            this->self.state == MemberState::kLeft;
  if (has_departed || this->self.state == state)
    return;
  this->self.state = state;
  this->SendHeartbeats();
}

void AgentHeartbeat::Leave(std::function<void()> done) {
  this->AnnounceDeparture(MemberState::kLeaving, std::move(done));
}

void AgentHeartbeat::Depart(std::function<void()> done) {
  this->AnnounceDeparture(MemberState::kLeft, std::move(done));
}

void AgentHeartbeat::OnAcknowledgement(const Acknowledgement& acknowledgement,
                                       const UdpAddress& from) {
  this->ReportConfigVersion(acknowledgement.config_version, from);
  if (acknowledgement.sequence == 0)
    return;
  if (this->departure.sequence > 0 &&
      acknowledgement.sequence >= this->departure.sequence) {
    this->departure.unacknowledged.erase(from);
    if (this->departure.unacknowledged.empty())
      this->FinishDeparture();
  }
  const auto found = this->contacts.find(from);
  if (found == this->contacts.end())
    return;
  Contact& contact = found->second;
  contact.unanswered = 0;
  contact.has_announcement = !acknowledgement.lacks_announcement;
  if (acknowledgement.entries)
    contact.entries_hash = HashEntries(*acknowledgement.entries);
  if (acknowledgement.higher_incarnation >= this->self.incarnation) {
    this->RaiseIncarnation(acknowledgement.higher_incarnation);
    return;
  }
  if (acknowledgement.lacks_announcement)
    this->SendHeartbeat(&contact);
  if (acknowledgement.entries)
    this->UpdateEntries(*acknowledgement.entries);
}

void AgentHeartbeat::UpdateEntries(const std::vector<EntryContact>& entries) {
  if (entries.empty() || entries == this->entries)
    return;
  // The first list replaces the seeds at once.
  const bool is_first = this->entries.empty();
  this->entries = entries;
  this->has_new_entries = true;
  if (is_first)
    this->ChooseContacts(this->clock.Now());
  if (this->listener.on_entries)
    this->listener.thread->Post(
        [notify = this->listener.on_entries, entries] { notify(entries); });
}

void AgentHeartbeat::ReportConfigVersion(uint64_t version,
                                         const UdpAddress& from) {
  // Reported again until this process runs the version: the entry reported
  // first may fail before it sends the configuration.
  if (version <= this->self.config_version)
    return;
  const std::vector<EntryContact> known = this->Candidates();
  const auto entry = std::find_if(
      known.begin(), known.end(),
      [&](const EntryContact& known) { return AddressOf(known) == from; });
  // The TCP port of a seed is known with the entry list only.
  if (entry == known.end() || entry->tcp_port == 0)
    return;
  if (this->listener.on_config_version)
    this->listener.thread->Post([notify = this->listener.on_config_version,
                                 version,
                                 entry = *entry] { notify(version, entry); });
}

// The entries know a later incarnation of this name or address: the clock
// stepped back between two starts. A departure is final and takes no new one.
// The next beat announces it: two processes that were given the same name would
// otherwise raise each other's incarnation without a pause.
void AgentHeartbeat::RaiseIncarnation(uint64_t higher_incarnation) {
  if (this->self.state == MemberState::kLeaving ||
      this->self.state == MemberState::kLeft)
    return;
  this->self.incarnation = higher_incarnation + 1;
  for (auto& [address, contact] : this->contacts)
    contact.has_announcement = false;
}

void AgentHeartbeat::ScheduleHeartbeat(absl::Time at) {
  const absl::Duration wait = at - this->clock.Now();
  this->heartbeat_timer.expires_after(absl::ToChronoMicroseconds(wait));
  this->heartbeat_timer.async_wait(
      [this, at](const boost::system::error_code& error) {
        if (error)
          return;
        this->SendScheduledHeartbeats();
        // A late beat moves the following ones, instead of sending several.
        const absl::Time next =
            std::max(at, this->clock.Now()) +
            absl::Milliseconds(this->options.heartbeat_interval_ms);
        this->ScheduleHeartbeat(next);
      });
}

void AgentHeartbeat::SendScheduledHeartbeats() {
  const absl::Time now = this->clock.Now();
  this->ReplaceSilentContacts(now);
  this->SendHeartbeats();
}

void AgentHeartbeat::SendHeartbeats() {
  ++this->sequence;
  for (auto& [address, contact] : this->contacts)
    this->SendHeartbeat(&contact);
}

// All contacts get the same sequence. One that is picked between two beats, or
// asks for the announcement, has not seen the present sequence with it yet.
void AgentHeartbeat::SendHeartbeat(Contact* contact) {
  Heartbeat heartbeat;
  heartbeat.summary = MakeSummary(this->self, this->sequence);
  heartbeat.entries_hash = contact->entries_hash;
  if (!contact->has_announcement)
    heartbeat.announcement = this->self;
  ++contact->unanswered;
  this->socket.Send(EncodeMessage(heartbeat), AddressOf(contact->entry));
}

void AgentHeartbeat::SendLastHeartbeat(const Contact& contact) {
  Heartbeat heartbeat;
  heartbeat.summary = MakeSummary(this->self, this->sequence);
  heartbeat.is_last = true;
  this->socket.Send(EncodeMessage(heartbeat), AddressOf(contact.entry));
}

void AgentHeartbeat::ReplaceSilentContacts(absl::Time now) {
  bool is_silent = false;
  for (const auto& [address, contact] : this->contacts) {
    if (contact.unanswered < this->options.max_unanswered)
      continue;
    is_silent = true;
    this->avoidance_expiry[address] =
        now + absl::Milliseconds(this->options.avoid_ms);
  }
  // With fewer contacts than wanted, the avoided ones are tried again too.
  if (is_silent || this->has_new_entries ||
      this->contacts.size() < this->options.contact_count)
    this->ChooseContacts(now);
}

// Known entries with the seeds that are not among them.
std::vector<EntryContact> AgentHeartbeat::Candidates() const {
  std::vector<EntryContact> out = this->entries;
  for (const UdpAddress& seed : this->options.seeds) {
    const bool is_known = std::any_of(
        out.begin(), out.end(),
        [&](const EntryContact& entry) { return AddressOf(entry) == seed; });
    if (!is_known)
      out.push_back({"", seed.host, seed.port, 0, "", ""});
  }
  return out;
}

void AgentHeartbeat::ChooseContacts(absl::Time now) {
  this->has_new_entries = false;
  std::erase_if(this->avoidance_expiry,
                [now](const auto& avoided) { return avoided.second < now; });
  std::set<UdpAddress> avoided;
  for (const auto& [address, until] : this->avoidance_expiry)
    avoided.insert(address);
  std::map<UdpAddress, Contact> chosen;
  for (const EntryContact& entry :
       ChooseEntries(this->self, this->Candidates(), avoided,
                     this->options.contact_count)) {
    const auto known = this->contacts.find(AddressOf(entry));
    Contact& contact = chosen[AddressOf(entry)];
    if (known != this->contacts.end())
      contact = known->second;
    contact.entry = entry;
  }
  const auto previous = std::exchange(this->contacts, std::move(chosen));
  for (const auto& [address, contact] : previous) {
    if (!this->contacts.contains(address))
      this->SendLastHeartbeat(contact);
  }
  for (auto& [address, contact] : this->contacts) {
    if (this->sequence > 0 && !previous.contains(address))
      this->SendHeartbeat(&contact);
    else if (contact.unanswered >= this->options.max_unanswered)
      contact.unanswered = 0;
  }
}

void AgentHeartbeat::AnnounceDeparture(MemberState state,
                                       std::function<void()> done) {
  this->self.state = state;
  this->departure = {};
  this->departure.sequence = ++this->sequence;
  this->departure.attempts_left = this->options.leave_attempts;
  this->departure.done = std::move(done);
  for (const EntryContact& entry : this->Candidates())
    this->departure.unacknowledged.insert(AddressOf(entry));
  this->SendDeparture();
}

void AgentHeartbeat::SendDeparture() {
  if (this->departure.attempts_left == 0 ||
      this->departure.unacknowledged.empty()) {
    this->FinishDeparture();
    return;
  }
  --this->departure.attempts_left;
  Heartbeat heartbeat;
  heartbeat.summary = MakeSummary(this->self, this->departure.sequence);
  const std::string bytes = EncodeMessage(heartbeat);
  for (const UdpAddress& address : this->departure.unacknowledged)
    this->socket.Send(bytes, address);
  this->leave_timer.expires_after(
      std::chrono::milliseconds(this->options.leave_interval_ms));
  this->leave_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error)
      this->SendDeparture();
  });
}

void AgentHeartbeat::FinishDeparture() {
  this->leave_timer.cancel();
  this->departure.attempts_left = 0;
  this->departure.unacknowledged.clear();
  const std::function<void()> done =
      std::exchange(this->departure.done, nullptr);
  if (done && this->listener.thread)
    this->listener.thread->Post(done);
}

}  // namespace cuminjunction
