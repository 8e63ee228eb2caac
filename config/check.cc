#include "config/check.h"

#include <algorithm>
#include <deque>
#include <set>

#include "base/strings.h"

namespace cuminjunction {

namespace {

// Maps each service and job name to the names it depends on.
using Graph = std::map<std::string, std::vector<std::string>>;

// Limits the cost of hints: each one searches all names, which is too expensive
// for thousands of problems. A longer list would not help the operator either.
constexpr size_t kMaxProblems = 100;

std::string Describe(const Size& size) {
  return StrCat(size.millicores, " millicores, ", size.memory_mib, " MiB, ",
                size.accelerators, " accelerators");
}

class Checker {
 public:
  Checker(const Document& document,
          const Fleet& fleet,
          const SectionLines& lines,
          const std::string& file,
          std::vector<YamlProblem>* problems)
      : document(document),
        fleet(fleet),
        lines(lines),
        file(file),
        problems(problems) {}

  void Run() {
    this->CheckCount();
    for (const auto& [name, account] : this->document.accounts)
      this->CheckQuota(account);
    for (const auto& [name, service] : this->document.services)
      this->CheckService(service);
    for (const auto& [name, job] : this->document.jobs)
      this->CheckJob(job);
    this->CheckDependencies();
  }

 private:
  bool HasMaxProblems() const { return this->problems->size() >= kMaxProblems; }

  void AddProblem(ConfigError error,
                  const std::string& section,
                  const std::string& key,
                  const std::string& hint) {
    if (this->HasMaxProblems())
      return;
    int line = 0;
    const auto found = this->lines.find(section);
    if (found != this->lines.end() && found->second.contains(key))
      line = found->second.at(key);
    this->problems->push_back({error, this->file, line, key, hint});
  }

  void CheckCount() {
    const size_t count = this->document.accounts.size() +
                         this->document.services.size() +
                         this->document.jobs.size();
    if (count > kMaxSections) {
      this->AddProblem(ConfigError::kTooManySections, "", "",
                       StrCat("at most ", kMaxSections));
    }
  }

  void CheckQuota(const Account& account) {
    if (this->fleet.empty())
      return;
    Size total;
    for (const Size& worker : this->fleet)
      total = total + worker;
    if (!Fits(account.quota, total)) {
      this->AddProblem(ConfigError::kQuotaAboveFleet, "account/" + account.name,
                       "quota", StrCat("the fleet has ", Describe(total)));
    }
  }

  void CheckAccount(const std::string& section, const std::string& account) {
    if (account.empty() || this->document.accounts.contains(account) ||
        this->HasMaxProblems())
      return;
    std::set<std::string> names;
    for (const auto& [name, value] : this->document.accounts)
      names.insert(name);
    this->AddProblem(ConfigError::kUnknownAccount, section, "account",
                     this->Suggest(account, names));
  }

  std::string Suggest(const std::string& name,
                      const std::set<std::string>& names) const {
    if (this->HasMaxProblems())
      return "";
    const std::string nearest = NearestWord(name, names);
    if (nearest.empty())
      return StrCat("there is no ", name);
    return StrCat("there is no ", name, "; did you mean ", nearest, "?");
  }

  void CheckSize(const std::string& section,
                 const std::string& account,
                 const Size& size) {
    if (size.millicores <= 0 || size.memory_mib <= 0) {
      this->AddProblem(ConfigError::kMissingSize, section, "size",
                       "size: {cores, memory_gib, accelerators}");
      return;
    }
    const auto fits_worker = [&](const Size& worker) {
      return Fits(size, worker);
    };
    if (!this->fleet.empty() &&
        std::none_of(this->fleet.begin(), this->fleet.end(), fits_worker)) {
      this->AddProblem(ConfigError::kSizeAboveWorkers, section, "size",
                       StrCat("it needs ", Describe(size)));
    }
    const auto found = this->document.accounts.find(account);
    if (found != this->document.accounts.end() &&
        !Fits(size, found->second.quota)) {
      this->AddProblem(ConfigError::kSizeAboveQuota, section, "size",
                       StrCat("the quota of ", account, " is ",
                              Describe(found->second.quota)));
    }
  }

  void CheckService(const Service& service) {
    const std::string section = "service/" + service.name;
    this->CheckAccount(section, service.account);
    if (service.replicas > 0)
      this->CheckSize(section, service.account, service.size);
  }

  void CheckJob(const Job& job) {
    const std::string section = "job/" + job.name;
    this->CheckAccount(section, job.account);
    this->CheckSize(section, job.account, job.size);
    if (this->document.services.contains(job.name)) {
      this->AddProblem(
          ConfigError::kDuplicateName, section, "name",
          "a service has this name; dependencies could mean either");
    }
  }

  std::string SectionOf(const std::string& name) const {
    return (this->document.jobs.contains(name) ? "job/" : "service/") + name;
  }

  Graph MakeDependencyGraph() const {
    Graph graph;
    for (const auto& [name, service] : this->document.services)
      graph[name] = service.depends_on;
    for (const auto& [name, job] : this->document.jobs)
      graph[name] = job.depends_on;
    return graph;
  }

  void CheckDependencies() {
    Graph graph = this->MakeDependencyGraph();
    std::set<std::string> names;
    for (const auto& [name, dependencies] : graph)
      names.insert(name);
    for (auto& [name, dependencies] : graph) {
      for (const std::string& dependency : dependencies) {
        if (!names.contains(dependency)) {
          this->AddProblem(ConfigError::kUnknownDependency,
                           this->SectionOf(name), "depends_on",
                           this->Suggest(dependency, names));
        }
      }
      std::erase_if(dependencies, [&](const std::string& dependency) {
        return !names.contains(dependency);
      });
    }
    this->ReportCycles(std::move(graph));
  }

  // Removes the names that neither lie on a cycle nor depend on one, reports
  // one cycle among the rest, removes it and repeats until the graph is empty.
  void ReportCycles(Graph graph) {
    RemoveResolved(&graph);
    while (!graph.empty() && !this->HasMaxProblems()) {
      const std::vector<std::string> cycle = FindCycle(graph);
      this->AddProblem(ConfigError::kDependencyCycle,
                       this->SectionOf(cycle.front()), "depends_on",
                       StrCat(StrJoin(cycle, " -> "), " -> ", cycle.front()));
      for (const std::string& name : cycle)
        graph.erase(name);
      RemoveResolved(&graph);
    }
  }

  // Repeatedly removes names without remaining dependencies, in linear time
  // (Kahn's algorithm).
  static void RemoveResolved(Graph* graph) {
    std::map<std::string, size_t> unresolved_count;
    std::map<std::string, std::vector<std::string>> dependents;
    std::deque<std::string> resolved;
    for (const auto& [name, dependencies] : *graph) {
      for (const std::string& dependency : dependencies) {
        if (!graph->contains(dependency))
          continue;
        ++unresolved_count[name];
        dependents[dependency].push_back(name);
      }
      if (unresolved_count[name] == 0)
        resolved.push_back(name);
    }
    while (!resolved.empty()) {
      const std::string name = resolved.front();
      resolved.pop_front();
      graph->erase(name);
      for (const std::string& dependent : dependents[name]) {
        if (--unresolved_count[dependent] == 0)
          resolved.push_back(dependent);
      }
    }
  }

  // Returns one cycle. Every name has a dependency in the graph, so a walk that
  // follows the first dependency of each name eventually repeats a name.
  static std::vector<std::string> FindCycle(const Graph& graph) {
    std::vector<std::string> walk;
    std::map<std::string, size_t> position;
    std::string name = graph.begin()->first;
    while (!position.contains(name)) {
      position[name] = walk.size();
      walk.push_back(name);
      const std::vector<std::string>& dependencies = graph.at(name);
      name = *std::find_if(
          dependencies.begin(), dependencies.end(),
          [&](const std::string& other) { return graph.contains(other); });
    }
    walk.erase(walk.begin(),
               walk.begin() + static_cast<std::ptrdiff_t>(position[name]));
    // The report starts at the lexicographically smallest name, so it does not
    // depend on where the walk began.
    std::rotate(walk.begin(), std::min_element(walk.begin(), walk.end()),
                walk.end());
    return walk;
  }

  const Document& document;
  const Fleet& fleet;
  const SectionLines& lines;
  const std::string& file;
  std::vector<YamlProblem>* problems;
};

}  // namespace

void CheckDocument(const Document& document,
                   const Fleet& fleet,
                   const SectionLines& lines,
                   const std::string& file,
                   std::vector<YamlProblem>* problems) {
  Checker(document, fleet, lines, file, problems).Run();
}

}  // namespace cuminjunction
