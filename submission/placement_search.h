#ifndef SUBMISSION_PLACEMENT_SEARCH_H_
#define SUBMISSION_PLACEMENT_SEARCH_H_

// Search for the cheapest VM of each task of a step, without evaluating every
// VM for every task.
//
//   WorkerOrder order;
//   order.Reset(workers);
//   PlacementSearch search(&order, step.data_rack, /*serves=*/false);
//   while (auto choice = search.Cheapest(evaluate)) {
//     ... place a task on choice->worker ...
//     search.OnPlaced(*choice, evaluate);
//   }
//   order.Reposition(changed_workers);
//
// Load pattern: after a total loss of power thousands of tasks wait for
// hundreds of idle VMs, and a planner with an eighth of a processor has to
// start them within seconds. A full scan costs tasks times VMs evaluations. The
// search visits VMs by ascending load and stops at the first whose load alone
// exceeds the lowest cost found, so that a task usually costs a few
// evaluations. `evaluate` maps a Worker* to its cost, or to nullopt if the
// task can't run there; see PlacementCost(). Placing a task must not make any
// VM cheaper.

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "submission/place.h"
#include "submission/worker.h"

namespace cuminjunction {

// Workers by ascending load. The loads are those at the last call for the
// worker, which are lower bounds while tasks are only added.
class WorkerOrder {
 public:
  struct Entry {
    double load = 0;
    Worker* worker = nullptr;
  };

  // Sorts these workers. Workers of equal load keep their order.
  void Reset(const std::vector<Worker*>& workers);

  // Moves workers whose load has grown to their new places.
  void Reposition(const std::vector<Worker*>& changed);

  const std::vector<Entry>& Entries() const { return this->entries; }

 private:
  std::vector<Entry> entries;
};

template <class T>
concept PlacementEvaluator = requires(T evaluate, Worker* worker) {
  { evaluate(worker) } -> std::same_as<std::optional<double>>;
};

class PlacementSearch {
 public:
  struct Choice {
    double cost = 0;
    Worker* worker = nullptr;
    // Number of the VM in the order in which the search visited them.
    size_t number = 0;
  };

  // `rack` is the rack that the step prefers, or empty. `serves` is true for a
  // step with a latency objective, whose cost may be lower than the load of the
  // VM. `order` and `rack` must outlive this object and not change.
  PlacementSearch(const WorkerOrder* order,
                  const std::string& rack,
                  bool serves)
      : order(order),
        rack(rack),
        load_to_bound(serves ? -kOtherImageWeight : 0) {}

  // Returns the VM with the lowest cost, or nullopt if the task fits nowhere.
  template <PlacementEvaluator Evaluator>
  std::optional<Choice> Cheapest(const Evaluator& evaluate) {
    this->Visit(evaluate, /*off_rack=*/false, &this->next);
    if (!this->rack.empty())
      this->Visit(evaluate, /*off_rack=*/true, &this->next_off_rack);
    if (this->heap.empty())
      return std::nullopt;
    return this->heap.front();
  }

  // Like Cheapest(), but returns the VM on which the task failed only if the
  // task fits on no other.
  template <PlacementEvaluator Evaluator>
  std::optional<Choice> CheapestExcept(const std::string& failed_vm,
                                       const Evaluator& evaluate) {
    const auto first = this->Cheapest(evaluate);
    if (!first || first->worker->vm != failed_vm)
      return first;
    this->Pop();
    const auto second = this->Cheapest(evaluate);
    this->Push(*first);
    return second ? second
                  : Choice{first->cost + kFailedHereWeight, first->worker,
                           first->number};
  }

  // Updates the cost of the VM of a choice after a task was placed there.
  template <PlacementEvaluator Evaluator>
  void OnPlaced(const Choice& choice, const Evaluator& evaluate) {
    if (this->heap.front().worker == choice.worker) {
      this->Pop();
    } else {
      std::erase_if(this->heap, [&](const Choice& other) {
        return other.worker == choice.worker;
      });
      std::make_heap(this->heap.begin(), this->heap.end(), IsDearer);
    }
    if (const auto cost = evaluate(choice.worker))
      this->Push({*cost, choice.worker, choice.number});
  }

 private:
  // Orders the heap by cost; of equal costs the VM visited first comes first.
  static bool IsDearer(const Choice& a, const Choice& b) {
    return a.cost != b.cost ? a.cost > b.cost : a.number > b.number;
  }

  void Push(const Choice& choice) {
    this->heap.push_back(choice);
    std::push_heap(this->heap.begin(), this->heap.end(), IsDearer);
  }
  void Pop() {
    std::pop_heap(this->heap.begin(), this->heap.end(), IsDearer);
    this->heap.pop_back();
  }

  // Evaluates workers from `*position` on until no later one can be cheaper
  // than the cheapest so far. With a preferred rack, only those on it or only
  // those off it.
  template <PlacementEvaluator Evaluator>
  void Visit(const Evaluator& evaluate, bool off_rack, size_t* position) {
    const double to_bound =
        this->load_to_bound + (off_rack ? kOtherRackWeight : 0);
    const auto& entries = this->order->Entries();
    for (; *position < entries.size(); ++*position) {
      const WorkerOrder::Entry& entry = entries[*position];
      if (!this->heap.empty() &&
          entry.load + to_bound >= this->heap.front().cost)
        return;
      if (!this->rack.empty() &&
          (RackOf(entry.worker->info) != this->rack) != off_rack)
        continue;
      if (const auto cost = evaluate(entry.worker))
        this->Push({*cost, entry.worker, this->visited++});
    }
  }

  const WorkerOrder* order;
  const std::string& rack;
  double load_to_bound;
  // First workers in `order` that are not evaluated yet.
  size_t next = 0;
  size_t next_off_rack = 0;
  size_t visited = 0;
  // Evaluated workers, the cheapest first.
  std::vector<Choice> heap;
};

// Shapes of tasks that no VM could take, within one plan. A plan only adds
// tasks to VMs, so a task that needs no less does not fit either.
class UnplaceableShapes {
 public:
  struct Shape {
    std::string service;
    Size size;
    bool fills = false;
    // Image of a filling task that was to wait for a VM where it does not
    // interfere; empty if the size alone was the cause.
    std::string waiting_image;
  };

  void Add(Shape shape) { this->shapes.push_back(std::move(shape)); }

  // True if no VM can take a task of this shape.
  bool Covers(const Shape& shape) const;

 private:
  std::vector<Shape> shapes;
};

}  // namespace cuminjunction

#endif  // SUBMISSION_PLACEMENT_SEARCH_H_
