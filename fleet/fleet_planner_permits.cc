// Queries to the platform's adviser, which the planner sends through agents.

#include <algorithm>

#include "base/time.h"
#include "fleet/fleet_planner.h"

namespace cuminjunction {

namespace {

// Time for an answer beyond the adviser's own time for the calls: the round
// trip to another region (24 ms) and the wait for other calls of the same VM.
constexpr absl::Duration kAnswerSlack = absl::Seconds(2);

}  // namespace

void FleetPlanner::SendQuery(const PermitQuery& query, absl::Time now) {
  // Selects the agent with the fewest calls under way.
  std::map<std::string, int> calls_by_agent;
  for (const std::string& node : this->nodes.ConnectedAgents())
    calls_by_agent[node] = 0;
  for (const auto& [number, sent_query] : this->queries) {
    const auto found = calls_by_agent.find(sent_query.vm);
    if (found != calls_by_agent.end())
      ++found->second;
  }
  const auto least_busy = std::min_element(
      calls_by_agent.begin(), calls_by_agent.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  if (least_busy == calls_by_agent.end()) {
    this->scheduler->OnPermitsFailed(query, now);
    return;
  }
  const absl::Duration timeout =
      this->scheduler->AdviceTime(query) * (least_busy->second + 1) +
      kAnswerSlack;
  const uint64_t number = this->next_query_number++;
  this->queries[number] = {query, least_busy->first, now, now + timeout};
  this->log->Write(LogLine("permits_asked")
                       .Add("submission", query.step.submission)
                       .Add("step", static_cast<uint64_t>(query.step.step))
                       .Add("runners", query.runners.size())
                       .Add("vm", least_busy->first));
  this->nodes.Send(
      least_busy->first,
      PermitRequest{this->lease.Epoch(), number, query.step, query.runners,
                    absl::ToInt64Milliseconds(timeout)});
}

void FleetPlanner::OnPermitAnswer(const PermitAnswer& answer) {
  auto extracted = this->queries.extract(answer.number);
  if (extracted.empty())
    return;
  const SentQuery& sent_query = extracted.mapped();
  const StepRef& step = sent_query.query.step;
  this->log->Write(LogLine("permits_answered")
                       .Add("submission", step.submission)
                       .Add("step", static_cast<uint64_t>(step.step))
                       .Add("answered", answer.answered)
                       .Add("granted", answer.granted.size())
                       .Add("valid_ms", answer.valid_ms));
  // The validity counts from the time at which the query was sent, since the
  // time at which the adviser answered is not known.
  if (answer.answered)
    this->scheduler->OnPermits(
        sent_query.query, answer.granted,
        sent_query.sent + absl::Milliseconds(answer.valid_ms));
  else
    this->scheduler->OnPermitsFailed(sent_query.query, BootClock().Now());
}

void FleetPlanner::FailQueries(
    const std::function<bool(const SentQuery&)>& should_fail,
    absl::Time now) {
  for (auto next = this->queries.begin(); next != this->queries.end();) {
    if (!should_fail(next->second)) {
      ++next;
      continue;
    }
    this->log->Write(LogLine("permits_not_answered", LogLevel::kWarning)
                         .Add("submission", next->second.query.step.submission)
                         .Add("vm", next->second.vm));
    this->scheduler->OnPermitsFailed(next->second.query, now);
    next = this->queries.erase(next);
  }
}

}  // namespace cuminjunction
