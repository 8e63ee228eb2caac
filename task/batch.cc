#include "task/batch.h"

#include <utility>

namespace cuminjunction {

namespace {

template <class Entry>
const Entry& Find(const std::map<std::string, Entry>& rows,
                  const std::string& id,
                  const Entry& fallback) {
  const auto found = rows.find(id);
  return found == rows.end() ? fallback : found->second;
}

template <class Entry>
void Write(const std::string& key, const Entry& entry, Transaction* out) {
  out->expects.push_back({key, entry.version});
  out->writes.push_back({key, ToText(entry.row)});
}

}  // namespace

Batch::Batch(const TaskCharts* charts, std::string transaction)
    : charts(charts), id(std::move(transaction)) {}

const TaskEntry& Batch::Current(const TaskEntry& entry) const {
  return Find(this->tasks, entry.row.id, entry);
}

const WorkerEntry& Batch::Current(const WorkerEntry& entry) const {
  return Find(this->workers, entry.row.id, entry);
}

const OwnerEntry& Batch::Current(const OwnerEntry& entry) const {
  return Find(this->owners, entry.row.name, entry);
}

void Batch::Set(const TaskEntry& entry, TaskRow row) {
  row.transaction = this->id;
  this->tasks[entry.row.id] = {std::move(row), entry.version};
}

void Batch::Set(const WorkerEntry& entry, WorkerRow row) {
  row.transaction = this->id;
  this->workers[entry.row.id] = {std::move(row), entry.version};
}

void Batch::Set(const OwnerEntry& entry, OwnerRow row) {
  row.transaction = this->id;
  this->owners[entry.row.name] = {std::move(row), entry.version};
}

void Batch::Delete(const TaskEntry& entry) {
  this->tasks.erase(entry.row.id);
  this->deleted[entry.row.id] = entry.version;
}

Transaction Batch::ToTransaction() const {
  Transaction out;
  out.id = this->id;
  for (const auto& [id, entry] : this->tasks)
    Write(TaskKey(id), entry, &out);
  for (const auto& [id, entry] : this->workers)
    Write(WorkerKey(id), entry, &out);
  for (const auto& [name, entry] : this->owners)
    Write(OwnerKey(name), entry, &out);
  for (const auto& [id, version] : this->deleted) {
    out.expects.push_back({TaskKey(id), version});
    out.writes.push_back({TaskKey(id), std::nullopt});
  }
  return out;
}

}  // namespace cuminjunction
