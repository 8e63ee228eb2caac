#include "submission/permits.h"

namespace cuminjunction {

namespace {

// The users' objective allows for one query of 30 workers per step.
constexpr size_t kMaxRunnersPerQuery = 30;

// Pause after a failed query: the adviser rejects calls while many are waiting.
constexpr absl::Duration kRetryPause = absl::Milliseconds(200);

// A ticket that expires sooner is not used, since the start that carries it may
// be repeated once (after 800 ms) before the runner receives it.
constexpr absl::Duration kMinValidity = absl::Seconds(1);

}  // namespace

bool Permits::NeedsQuery(const StepPermits& step_permits,
                         const RunnerInfo& runner,
                         absl::Time now) {
  const auto found = step_permits.answers.find(runner.runner);
  if (found == step_permits.answers.end())
    return true;
  const Answer& answer = found->second;
  // The policy does not change, so a worker whose permit was denied is not
  // queried again.
  return answer.granted && (answer.born_ms != runner.born_ms ||
                            answer.valid_until - now < kMinValidity);
}

std::optional<PermitQuery> Permits::NextQuery(
    const StepRef& step,
    const std::vector<const RunnerInfo*>& workers,
    absl::Time now) {
  StepPermits& step_permits = this->steps[step];
  if (!step_permits.pending.empty() || now < step_permits.retry_at)
    return std::nullopt;
  PermitQuery query{step, {}};
  for (const RunnerInfo* runner : workers) {
    if (query.runners.size() >= kMaxRunnersPerQuery)
      break;
    if (!NeedsQuery(step_permits, *runner, now))
      continue;
    query.runners.push_back(runner->runner);
    step_permits.pending[runner->runner] = runner->born_ms;
  }
  if (query.runners.empty())
    return std::nullopt;
  return query;
}

void Permits::OnAnswer(const PermitQuery& query,
                       const std::vector<GrantedRunner>& granted,
                       absl::Time valid_until) {
  const auto found = this->steps.find(query.step);
  if (found == this->steps.end())
    return;
  StepPermits& step_permits = found->second;
  for (const auto& [runner, born_ms] : step_permits.pending)
    step_permits.answers[runner] = {born_ms, false, "", valid_until};
  for (const auto& [runner, ticket] : granted) {
    const auto answer = step_permits.answers.find(runner);
    if (answer == step_permits.answers.end() ||
        !step_permits.pending.contains(runner))
      continue;
    answer->second.granted = true;
    answer->second.ticket = ticket;
  }
  step_permits.pending.clear();
}

void Permits::OnFailed(const PermitQuery& query, absl::Time now) {
  const auto found = this->steps.find(query.step);
  if (found == this->steps.end())
    return;
  found->second.pending.clear();
  found->second.retry_at = now + kRetryPause;
}

const std::string* Permits::Find(const StepRef& step,
                                 const RunnerInfo& runner,
                                 absl::Time now) const {
  const auto step_permits = this->steps.find(step);
  if (step_permits == this->steps.end())
    return nullptr;
  const auto answer = step_permits->second.answers.find(runner.runner);
  if (answer == step_permits->second.answers.end() || !answer->second.granted ||
      answer->second.born_ms != runner.born_ms ||
      answer->second.valid_until - now < kMinValidity)
    return nullptr;
  return &answer->second.ticket;
}

void Permits::Revoke(const StepRef& step, const std::string& runner) {
  const auto step_permits = this->steps.find(step);
  if (step_permits != this->steps.end())
    step_permits->second.answers.erase(runner);
}

void Permits::Forget(const std::string& submission) {
  const auto begin = this->steps.lower_bound({submission, 0, 0});
  auto end = begin;
  while (end != this->steps.end() && end->first.submission == submission)
    ++end;
  this->steps.erase(begin, end);
}

}  // namespace cuminjunction
