/*
 * Preload library that makes system calls of a process fail as Linux documents, by rules and a seed.
 *
 * Environment:
 *   SYSCALL_FAULTS      rules separated by ';', each "call role fault one_in [from_ms to_ms]"
 *                         call    accept, socket, connect, read, write, poll, epoll_wait
 *                         role    listener, client (accepted), upstream (connected), discovery, any
 *                         fault   an errno name of the table below, or SHORT (one byte at max_events)
 *                         one_in  mean number of calls from one fault to the next; 1 makes every call fail
 *                         from_ms to_ms   when the rule applies, in milliseconds since the start of the process; always, if left out
 *   SYSCALL_FAULTS_SEED  seed for the choice of failing calls; 1 if unset
 *   SYSCALL_FAULTS_LOG   file to which a line "ms call role fault" is appended for each injected fault
 *   SYSCALL_FAULTS_DISCOVERY  port of discovery; a socket connected to it has the role discovery, not upstream
 *   SYSCALL_FAULTS_CLOCK "from_ms step_ms": from that time on, the wall clock is off by step_ms; the monotonic clock is not
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MAX_RULES 16
#define MAX_FDS 65536
#define SHORT_TRANSFER -1

enum role { NONE, LISTENER, CLIENT, UPSTREAM, DISCOVERY, ANY };
static const char *const ROLE_NAMES[] = {"none", "listener", "client", "upstream", "discovery", "any"};

struct rule {
  char call[16];
  enum role role;
  char name[20];
  int fault;
  unsigned one_in;
  long from_ms;
  long to_ms;
};

static const struct {
  const char *name;
  int number;
} ERRNOS[] = {
    {"SHORT", SHORT_TRANSFER}, {"EINTR", EINTR},           {"EAGAIN", EAGAIN},           {"ECONNABORTED", ECONNABORTED},
    {"EMFILE", EMFILE},        {"ENFILE", ENFILE},         {"ENOBUFS", ENOBUFS},         {"ENOMEM", ENOMEM},
    {"EPROTO", EPROTO},        {"EPERM", EPERM},           {"ENETDOWN", ENETDOWN},       {"ENETUNREACH", ENETUNREACH},
    {"EHOSTDOWN", EHOSTDOWN},  {"EHOSTUNREACH", EHOSTUNREACH}, {"ETIMEDOUT", ETIMEDOUT}, {"EADDRNOTAVAIL", EADDRNOTAVAIL},
    {"ECONNREFUSED", ECONNREFUSED}, {"ECONNRESET", ECONNRESET}, {"EPIPE", EPIPE},       {"EOPNOTSUPP", EOPNOTSUPP},
    {"ENOPROTOOPT", ENOPROTOOPT}, {"ENONET", ENONET},
};

static struct rule rules[MAX_RULES];
static int rule_count;
static atomic_uchar roles[MAX_FDS];
static atomic_ulong calls;
static uint64_t seed;
static int log_fd = -1;
static int discovery_port;
static long clock_from_ms = -1;
static long clock_step_ms;
static struct timespec start_time;

static long elapsed_ms(void) {
  struct timespec t;
  syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &t);
  return (t.tv_sec - start_time.tv_sec) * 1000 + (t.tv_nsec - start_time.tv_nsec) / 1000000;
}

static void exit_invalid(const char *what) {
  dprintf(2, "syscall_faults: invalid rule or clock step: %s\n", what);
  _exit(99);
}

static void parse_rule(char *text) {
  struct rule *r = &rules[rule_count];
  char role[16];
  int n = sscanf(text, "%15s %15s %19s %u %ld %ld", r->call, role, r->name, &r->one_in, &r->from_ms, &r->to_ms);
  if (n < 4 || n == 5 || r->one_in == 0 || rule_count == MAX_RULES - 1) {
    exit_invalid(text);
  }
  if (n == 4) {
    r->from_ms = 0;
    r->to_ms = INT32_MAX;
  }
  int found = 0;
  for (int i = LISTENER; i <= ANY; i++) {
    if (!strcmp(ROLE_NAMES[i], role)) {
      r->role = i;
      found |= 1;
    }
  }
  for (size_t i = 0; i < sizeof ERRNOS / sizeof *ERRNOS; i++) {
    if (!strcmp(ERRNOS[i].name, r->name)) {
      r->fault = ERRNOS[i].number;
      found |= 2;
    }
  }
  if (found != 3) {
    exit_invalid(text);
  }
  rule_count++;
}

__attribute__((constructor)) static void read_environment(void) {
  syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &start_time);
  const char *text = getenv("SYSCALL_FAULTS_SEED");
  seed = text ? strtoull(text, NULL, 10) : 1;
  text = getenv("SYSCALL_FAULTS_DISCOVERY");
  discovery_port = text ? atoi(text) : 0;
  text = getenv("SYSCALL_FAULTS_LOG");
  log_fd = text ? open(text, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644) : -1;
  text = getenv("SYSCALL_FAULTS_CLOCK");
  if (text && sscanf(text, "%ld %ld", &clock_from_ms, &clock_step_ms) != 2) {
    exit_invalid(text);
  }
  text = getenv("SYSCALL_FAULTS");
  char *copy = strdup(text ? text : "");
  for (char *save, *rule = strtok_r(copy, ";", &save); rule; rule = strtok_r(NULL, ";", &save)) {
    parse_rule(rule);
  }
  free(copy);
}

static uint64_t splitmix64(uint64_t z) {
  z += 0x9e3779b97f4a7c15u;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

static enum role get_role(int fd) { return fd >= 0 && fd < MAX_FDS ? atomic_load(&roles[fd]) : NONE; }

static void set_role(int fd, enum role role) {
  if (fd >= 0 && fd < MAX_FDS) {
    atomic_store(&roles[fd], role);
  }
}

/* Returns the fault for this call: 0 for none, SHORT_TRANSFER, or an errno. */
static int fault_for(const char *call, enum role role) {
  for (int i = 0; i < rule_count; i++) {
    struct rule *r = &rules[i];
    if (strcmp(r->call, call) || (r->role != ANY && r->role != role)) {
      continue;
    }
    if (splitmix64(seed ^ (atomic_fetch_add(&calls, 1) << 8)) % r->one_in) {
      continue;
    }
    long at = elapsed_ms();
    if (at < r->from_ms || at >= r->to_ms) {
      continue;
    }
    if (log_fd >= 0) {
      char line[96];
      int n = snprintf(line, sizeof line, "%ld %s %s %s\n", at, call, ROLE_NAMES[role], r->name);
      if (syscall(SYS_write, log_fd, line, n) < 0) {
        /* the log lacks this line; the fault is injected all the same */
      }
    }
    return r->fault;
  }
  return 0;
}

/* Looks up the function of the C library that this library replaces, as "next". */
#define NEXT_FUNCTION(name, ...) \
  static __typeof__(&name) next; \
  if (!next) { \
    next = (__typeof__(&name))dlsym(RTLD_NEXT, #name); \
  }

/* Returns from the caller with the errno of a fault; otherwise defines "fault" as 0 or SHORT_TRANSFER. */
#define RETURN_FAULT(call, role) \
  int fault = fault_for(call, role); \
  if (fault > 0) { \
    errno = fault; \
    return -1; \
  }

int accept(int fd, struct sockaddr *address, socklen_t *length) {
  NEXT_FUNCTION(accept)
  RETURN_FAULT("accept", LISTENER)
  int accepted = next(fd, address, length);
  set_role(accepted, CLIENT);
  return accepted;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
  NEXT_FUNCTION(accept4)
  RETURN_FAULT("accept", LISTENER)
  int accepted = next(fd, address, length, flags);
  set_role(accepted, CLIENT);
  return accepted;
}

int socket(int domain, int type, int protocol) {
  NEXT_FUNCTION(socket)
  RETURN_FAULT("socket", ANY)
  int fd = next(domain, type, protocol);
  set_role(fd, NONE);
  return fd;
}

static int port_of(const struct sockaddr *address) {
  if (address->sa_family == AF_INET) {
    return ntohs(((const struct sockaddr_in *)address)->sin_port);
  }
  return address->sa_family == AF_INET6 ? ntohs(((const struct sockaddr_in6 *)address)->sin6_port) : 0;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
  NEXT_FUNCTION(connect)
  int port = port_of(address);
  enum role role = port == 0 ? NONE : port == discovery_port ? DISCOVERY : UPSTREAM;
  set_role(fd, role);
  RETURN_FAULT("connect", role)
  return next(fd, address, length);
}

int close(int fd) {
  NEXT_FUNCTION(close)
  set_role(fd, NONE);
  return next(fd);
}

ssize_t read(int fd, void *bytes, size_t count) {
  NEXT_FUNCTION(read)
  enum role role = get_role(fd);
  if (role == NONE) {
    return next(fd, bytes, count);
  }
  RETURN_FAULT("read", role)
  return next(fd, bytes, fault == SHORT_TRANSFER && count > 1 ? 1 : count);
}

ssize_t recv(int fd, void *bytes, size_t count, int flags) {
  NEXT_FUNCTION(recv)
  enum role role = get_role(fd);
  RETURN_FAULT("read", role)
  return next(fd, bytes, fault == SHORT_TRANSFER && count > 1 ? 1 : count, flags);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
  NEXT_FUNCTION(readv)
  RETURN_FAULT("read", get_role(fd))
  return next(fd, parts, fault == SHORT_TRANSFER ? 1 : count);
}

ssize_t write(int fd, const void *bytes, size_t count) {
  NEXT_FUNCTION(write)
  enum role role = get_role(fd);
  if (role == NONE) {
    return next(fd, bytes, count);
  }
  RETURN_FAULT("write", role)
  return next(fd, bytes, fault == SHORT_TRANSFER && count > 1 ? 1 : count);
}

ssize_t send(int fd, const void *bytes, size_t count, int flags) {
  NEXT_FUNCTION(send)
  RETURN_FAULT("write", get_role(fd))
  return next(fd, bytes, fault == SHORT_TRANSFER && count > 1 ? 1 : count, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
  NEXT_FUNCTION(writev)
  enum role role = get_role(fd);
  if (role == NONE) {
    return next(fd, parts, count);
  }
  RETURN_FAULT("write", role)
  if (fault == SHORT_TRANSFER && count > 0 && parts[0].iov_len > 0) {
    struct iovec one = {parts[0].iov_base, 1};
    return next(fd, &one, 1);
  }
  return next(fd, parts, count);
}

int poll(struct pollfd *sockets, nfds_t count, int timeout) {
  NEXT_FUNCTION(poll)
  enum role role = count > 0 ? get_role(sockets[0].fd) : NONE;
  if (role != NONE) {
    RETURN_FAULT("poll", role)
  }
  return next(sockets, count, timeout);
}

int epoll_wait(int epfd, struct epoll_event *events, int max_events, int timeout) {
  NEXT_FUNCTION(epoll_wait)
  RETURN_FAULT("epoll_wait", ANY)
  return next(epfd, events, max_events, timeout);
}

/* Applies the step to a reading of CLOCK_REALTIME. Other clocks stay as the kernel has them. */
static void apply_clock_step(struct timespec *t) {
  if (clock_from_ms < 0 || elapsed_ms() < clock_from_ms) {
    return;
  }
  int64_t ns = (int64_t)t->tv_sec * 1000000000 + t->tv_nsec + (int64_t)clock_step_ms * 1000000;
  t->tv_sec = ns / 1000000000;
  t->tv_nsec = ns % 1000000000;
}

int clock_gettime(clockid_t clock, struct timespec *t) {
  if (clock_from_ms < 0) { /* without a step, use the faster call through the vDSO */
    NEXT_FUNCTION(clock_gettime)
    return next(clock, t);
  }
  int result = syscall(SYS_clock_gettime, clock, t);
  if (result == 0 && clock == CLOCK_REALTIME) {
    apply_clock_step(t);
  }
  return result;
}

int gettimeofday(struct timeval *restrict tv, void *restrict zone) {
  (void)zone;
  struct timespec t;
  clock_gettime(CLOCK_REALTIME, &t);
  tv->tv_sec = t.tv_sec;
  tv->tv_usec = t.tv_nsec / 1000;
  return 0;
}
