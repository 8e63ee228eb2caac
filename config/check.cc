#include "config/check.h"

#include <algorithm>
#include <deque>
#include <set>

#include "base/strings.h"

namespace cuminjunction {

namespace {

// The names that others can depend on, each with its dependencies.
using Graph = std::map<std::string, std::vector<std::string>>;

// More problems than these help nobody, and a hint is a search among all names,
// which must not be made for each of thousands.
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
  bool IsFull() const { return this->problems->size() >= kMaxProblems; }

  void Problem(ConfigError error,
               const std::string& section,
               const std::string& key,
               const std::string& hint) {
    if (this->IsFull())
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
      this->Problem(ConfigError::kTooManySections, "", "",
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
      this->Problem(ConfigError::kQuotaAboveFleet, "account/" + account.name,
                    "quota", StrCat("the fleet has ", Describe(total)));
    }
  }

  void CheckAccount(const std::string& section, const std::string& account) {
    if (account.empty() || this->document.accounts.contains(account) ||
        this->IsFull())
      return;
    std::set<std::string> names;
    for (const auto& [name, value] : this->document.accounts)
      names.insert(name);
    this->Problem(ConfigError::kUnknownAccount, section, "account",
                  this->Suggest(account, names));
  }

  std::string Suggest(const std::string& name,
                      const std::set<std::string>& names) const {
    if (this->IsFull())
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
      this->Problem(ConfigError::kMissingSize, section, "size",
                    "size: {cores, memory_gib, accelerators}");
      return;
    }
    const auto holds = [&](const Size& worker) { return Fits(size, worker); };
    if (!this->fleet.empty() &&
        std::none_of(this->fleet.begin(), this->fleet.end(), holds)) {
      this->Problem(ConfigError::kSizeAboveWorkers, section, "size",
                    StrCat("it needs ", Describe(size)));
    }
    const auto found = this->document.accounts.find(account);
    if (found != this->document.accounts.end() &&
        !Fits(size, found->second.quota)) {
      this->Problem(ConfigError::kSizeAboveQuota, section, "size",
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
      this->Problem(ConfigError::kDuplicateName, section, "name",
                    "a service has this name; dependencies could mean either");
    }
  }

  std::string SectionOf(const std::string& name) const {
    return (this->document.jobs.contains(name) ? "job/" : "service/") + name;
  }

  Graph MakeGraph() const {
    Graph graph;
    for (const auto& [name, service] : this->document.services)
      graph[name] = service.depends_on;
    for (const auto& [name, job] : this->document.jobs)
      graph[name] = job.depends_on;
    return graph;
  }

  void CheckDependencies() {
    Graph graph = this->MakeGraph();
    std::set<std::string> names;
    for (const auto& [name, dependencies] : graph)
      names.insert(name);
    for (auto& [name, dependencies] : graph) {
      for (const std::string& dependency : dependencies) {
        if (!names.contains(dependency)) {
          this->Problem(ConfigError::kUnknownDependency, this->SectionOf(name),
                        "depends_on", this->Suggest(dependency, names));
        }
      }
      std::erase_if(dependencies, [&](const std::string& dependency) {
        return !names.contains(dependency);
      });
    }
    this->ReportCycles(std::move(graph));
  }

  // Removes what does not lie on or behind a cycle, names a cycle in the rest,
  // removes it too and goes on until nothing is left.
  void ReportCycles(Graph graph) {
    RemoveFree(&graph);
    while (!graph.empty() && !this->IsFull()) {
      const std::vector<std::string> cycle = FindCycle(graph);
      this->Problem(ConfigError::kDependencyCycle,
                    this->SectionOf(cycle.front()), "depends_on",
                    StrCat(StrJoin(cycle, " -> "), " -> ", cycle.front()));
      for (const std::string& name : cycle)
        graph.erase(name);
      RemoveFree(&graph);
    }
  }

  // Removes the names whose dependencies are all gone, in linear time.
  static void RemoveFree(Graph* graph) {
    std::map<std::string, size_t> left;
    std::map<std::string, std::vector<std::string>> dependents;
    std::deque<std::string> free;
    for (const auto& [name, dependencies] : *graph) {
      for (const std::string& dependency : dependencies) {
        if (!graph->contains(dependency))
          continue;
        ++left[name];
        dependents[dependency].push_back(name);
      }
      if (left[name] == 0)
        free.push_back(name);
    }
    while (!free.empty()) {
      const std::string name = free.front();
      free.pop_front();
      graph->erase(name);
      for (const std::string& dependent : dependents[name]) {
        if (--left[dependent] == 0)
          free.push_back(dependent);
      }
    }
  }

  // Every name of the graph has a dependency in it, so a walk along the first
  // one comes back to a name it has seen.
  static std::vector<std::string> FindCycle(const Graph& graph) {
    std::vector<std::string> path;
    std::map<std::string, size_t> position;
    std::string name = graph.begin()->first;
    while (!position.contains(name)) {
      position[name] = path.size();
      path.push_back(name);
      const std::vector<std::string>& dependencies = graph.at(name);
      name = *std::find_if(
          dependencies.begin(), dependencies.end(),
          [&](const std::string& other) { return graph.contains(other); });
    }
    path.erase(path.begin(),
               path.begin() + static_cast<std::ptrdiff_t>(position[name]));
    // A cycle is named from its first name on, whatever the walk began with.
    std::rotate(path.begin(), std::min_element(path.begin(), path.end()),
                path.end());
    return path;
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
