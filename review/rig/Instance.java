import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** One instance: the line protocol, its registration and its log. */
final class Instance {
  private static final int QUEUE = 24;
  private static final long UNREACHABLE_DROP_MS = 3_000;
  static volatile long workMs = 3;

  /** Decides which answers are lost although the statement has run. */
  interface AnswerLoss {
    boolean isLost(String id, String text);
  }

  final Group group;
  final String id;
  final String ip;
  final String zone;
  volatile long networkMs;
  volatile long applyMs;
  final List<Group.Entry> log = new ArrayList<>();
  volatile boolean up;

  /** Receives nothing. */
  volatile boolean deaf;

  /** Answers nothing, although its connections stay open. */
  volatile boolean dark;

  /** Reaches the platform's store. */
  volatile boolean reachesStore = true;

  /** How long after the return of the store an entry that has expired is back. */
  volatile long registersAfterMs;

  boolean receivedUntilCrash;
  long heldTerm;
  long knownTerm;
  volatile AnswerLoss loss = (requestId, text) -> false;
  private long bornMs;
  private long sequence;
  private long silentSinceMs = Long.MAX_VALUE;
  private boolean registered;
  private long registerAtMs;
  private volatile ServerSocket server;
  private int port;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Semaphore slots;
  private final AtomicInteger waiting = new AtomicInteger();
  private final AtomicLong signatures = new AtomicLong();

  Instance(Group group, String id, String ip, String zone, long networkMs, long applyMs) {
    this.group = group;
    this.id = id;
    this.ip = ip;
    this.zone = zone;
    this.networkMs = networkMs;
    this.applyMs = applyMs;
    this.slots = new Semaphore(group.slots, true);
  }

  /** Starts, or starts again with the log that it had. */
  void start() throws IOException {
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 200);
    port = opened.getLocalPort();
    server = opened;
    group.lock.lock();
    try {
      up = true;
      dark = false;
      bornMs = System.currentTimeMillis();
      sequence = 0;
      knownTerm = group.term;
      heldTerm = 0;
      if (this != group.leader) {
        int common = 0;
        while (common < Math.min(log.size(), group.leader.log.size())
            && log.get(common) == group.leader.log.get(common)) {
          common++;
        }
        log.subList(common, log.size()).clear();
      }
      silentSinceMs = Long.MAX_VALUE;
      register();
    } finally {
      group.lock.unlock();
    }
    group.record.say("instance " + id + " starts");
    Thread.startVirtualThread(() -> accept(opened));
  }

  /** Crashes: connections and the port close, the log stays. */
  void crash() {
    group.lock.lock();
    try {
      if (this == group.leader) {
        for (Instance replica : group.instances.values()) {
          replica.receivedUntilCrash =
              replica.up && !replica.deaf && replica.heldTerm == 0 && replica != this;
        }
      }
      up = false;
      silentSinceMs = Group.nowMs();
    } finally {
      group.lock.unlock();
    }
    group.record.say("instance " + id + " crashes with " + log.size() + " commits");
    end();
  }

  void end() {
    try {
      server.close();
      for (Socket socket : sockets) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    } catch (IOException e) {
      // Closed already.
    }
    sockets.clear();
  }

  /** Removes the registration after three intervals of silence; writes it again otherwise. */
  void beat() {
    boolean silent = !up || dark || !reachesStore || group.store.isDown();
    long nowMs = Group.nowMs();
    if (!silent) {
      if (silentSinceMs != Long.MAX_VALUE) {
        silentSinceMs = Long.MAX_VALUE;
        registerAtMs = nowMs + registersAfterMs;
      }
      if (!registered && nowMs >= registerAtMs) {
        register();
        group.record.say("registration of " + id + " is back");
      }
      return;
    }
    silentSinceMs = Math.min(silentSinceMs, nowMs);
    if (registered && nowMs - silentSinceMs >= 3 * Group.HEARTBEAT_MS) {
      registered = false;
      group.store.remove("servers", id);
      group.record.say("registration of " + id + " removed");
    }
  }

  void register() {
    if (!reachesStore || dark || group.store.isDown()) {
      return;
    }
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("backend", group.service);
    entry.put("address", ip + ":" + port);
    entry.put("zone", zone);
    entry.put("version", "v1");
    entry.put("slots", group.slots);
    entry.put("state", "ready");
    entry.put("cold-remaining-ms", 0);
    entry.put("db-role", group.isLeader(this) ? "primary" : "replica");
    entry.put("seq", ++sequence);
    entry.put("born", bornMs);
    group.store.put("servers", id, Json.write(entry));
    registered = true;
  }

  private void accept(ServerSocket listening) {
    try {
      while (true) {
        Socket socket = listening.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        Thread.startVirtualThread(() -> serve(socket));
      }
    } catch (IOException e) {
      // crash() or end() has closed the port.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      new Connection(socket).run();
    } catch (IOException | InterruptedException e) {
      // The peer or crash() has closed the connection.
    } finally {
      sockets.remove(socket);
    }
  }

  /** Returns the number of commits of the log that reads see. */
  private int applied() {
    group.advance(this);
    if (this == group.leader) {
      return log.size();
    }
    long visibleMs = Group.nowMs() - networkMs - applyMs;
    int count = log.size();
    while (count > 0 && log.get(count - 1).atMs() > visibleMs) {
      count--;
    }
    return count;
  }

  private String position() {
    group.lock.lock();
    try {
      return knownTerm + "." + applied();
    } finally {
      group.lock.unlock();
    }
  }

  private boolean has(String position) {
    String[] parts = position.split("\\.");
    long term = Long.parseLong(parts[0]);
    long number = Long.parseLong(parts[1]);
    group.lock.lock();
    try {
      if (term > knownTerm || applied() < number) {
        return false;
      }
      return term == knownTerm || number == 0 || log.get((int) number - 1).term() <= term;
    } finally {
      group.lock.unlock();
    }
  }

  private String status() {
    group.lock.lock();
    try {
      group.advance(this);
      String role = group.isLeader(this) ? "primary" : "replica";
      int busy = group.slots - slots.availablePermits();
      return "ROW " + role + " " + knownTerm + " " + knownTerm + "." + log.size() + " " + heldTerm
          + " " + (log.size() - applied()) + " " + busy + " " + sockets.size();
    } finally {
      group.lock.unlock();
    }
  }

  /** One connection. */
  private final class Connection {
    private static final String END = "";
    private final Socket socket;
    private final LinkedBlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private final OutputStream out;
    private final Map<String, String> values = new HashMap<>();
    private final Map<String, String> prepared = new HashMap<>();
    private final List<String> ids = new ArrayList<>();
    private final Map<String, String> writes = new LinkedHashMap<>();
    private String vm = "";
    private char state = 'I';
    private boolean plain;
    private long beginTerm;

    /** What the present statement has committed. */
    private Group.Entry committed;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      this.out = socket.getOutputStream();
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      Thread.startVirtualThread(() -> read(in));
    }

    /** Reads ahead, so that the end of the connection is noticed while a statement runs. */
    private void read(BufferedReader in) {
      try {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
          lines.add(line);
        }
      } catch (IOException e) {
        // The peer or crash() has closed the connection.
      }
      sockets.remove(socket);
      lines.add(END);
    }

    private void awaitReachable() throws IOException, InterruptedException {
      long sinceMs = Group.nowMs();
      while (dark || group.cut.test(vm, Instance.this)) {
        if (!up || !dark && Group.nowMs() - sinceMs > UNREACHABLE_DROP_MS) {
          throw new IOException("unreachable");
        }
        TimeUnit.MILLISECONDS.sleep(5);
      }
    }

    void run() throws IOException, InterruptedException {
      String first = lines.take();
      String[] fields = first.split(" ");
      vm = fields.length > 2 ? fields[2] : "";
      awaitReachable();
      if (fields.length < 3
          || !fields[1].equals(group.service)
          || fields.length > 3 && !fields[3].equals(id)) {
        send("ERROR MISROUTED " + id);
        return;
      }
      if (sockets.size() > group.maxConnections) {
        send("ERROR TOOMANY " + id);
        return;
      }
      send("READY I " + position());
      for (String line = lines.take(); !line.equals(END); line = lines.take()) {
        String[] parts = line.split(" ", 3);
        if (!parts[0].equals("QUERY") || parts.length < 3) {
          return;
        }
        awaitReachable();
        group.seen.add(parts[1]);
        handle(parts[1], parts[2]);
      }
    }

    private void handle(String requestId, String text) throws IOException, InterruptedException {
      String statement = text;
      Optional<String> refusal = Optional.empty();
      if (text.startsWith("AFTER ")) {
        String[] parts = text.split(" ", 3);
        statement = parts[2];
        refusal = has(parts[1]) ? Optional.empty() : Optional.of("LAGGING");
      }
      if (state == 'E' && !statement.equals("ROLLBACK") && !statement.equals("COMMIT")) {
        refusal = Optional.of("MALFORMED");
      }
      if (refusal.isEmpty()) {
        refusal = refusalOf(statement);
      }
      boolean works = usesSlot(statement);
      if (refusal.isEmpty() && works) {
        if (waiting.incrementAndGet() > QUEUE + group.slots) {
          waiting.decrementAndGet();
          refusal = Optional.of("BUSY");
        }
      }
      if (refusal.isPresent()) {
        refuse(refusal.get());
        return;
      }
      if (!works) {
        answer(requestId, text, runAtOnce(statement), "-");
        return;
      }
      List<String> rows;
      committed = null;
      slots.acquire();
      try {
        TimeUnit.MILLISECONDS.sleep(workMs);
        rows = run(requestId, statement);
      } finally {
        slots.release();
        waiting.decrementAndGet();
      }
      if (rows != null && committed != null && !group.awaitSync(Instance.this, committed)) {
        rows = null;
      }
      if (rows == null) {
        refuse("FAILED");
        return;
      }
      awaitReachable();
      answer(requestId, text, rows, "sig." + id + "." + signatures.incrementAndGet());
    }

    private void refuse(String code) throws IOException {
      if (state == 'T') {
        state = 'E';
      }
      send("ERROR " + code + " " + id, "READY " + state + " " + position());
    }

    private void answer(String requestId, String text, List<String> rows, String signature)
        throws IOException {
      if (loss.isLost(requestId, text)) {
        group.record.line("answer lost at " + id + ": " + requestId + " " + text);
        return;
      }
      List<String> lines = new ArrayList<>(rows);
      lines.add("COMPLETE " + signature);
      lines.add("READY " + state + " " + position());
      send(lines.toArray(String[]::new));
    }

    private Optional<String> refusalOf(String statement) {
      group.lock.lock();
      try {
        boolean leads = group.isLeader(Instance.this);
        boolean lost = state == 'T' && plain && (!leads || beginTerm != group.term);
        boolean needsLead = statement.equals("BEGIN") || state == 'I' && writes(statement);
        boolean emptyCommit = statement.equals("COMMIT") && ids.isEmpty();
        if (needsLead && !leads
            || lost && !emptyCommit && !statement.equals("ROLLBACK")
            || state == 'T' && !plain && writes(statement)) {
          return Optional.of("READONLY");
        }
        if (statement.startsWith("EXECUTE ") && !prepared.containsKey(statement.split(" ")[1])) {
          return Optional.of("NOSTMT");
        }
        return Optional.empty();
      } finally {
        group.lock.unlock();
      }
    }

    private List<String> runAtOnce(String statement) {
      String[] words = statement.split(" ");
      switch (words[0]) {
        case "BEGIN" -> {
          state = 'T';
          plain = words.length == 1;
          group.lock.lock();
          beginTerm = group.term;
          group.lock.unlock();
        }
        case "ROLLBACK" -> endTransaction();
        case "SET" -> values.put(words[1], words[2]);
        case "PREPARE" -> prepared.put(words[1], words[2]);
        case "DEALLOC" -> prepared.remove(words[1]);
        case "RESET" -> {
          values.clear();
          prepared.clear();
        }
        case "STATUS" -> {
          return List.of(status());
        }
        case "PAUSE" -> {
          hold(Long.parseLong(words[1]));
          return List.of(status());
        }
        case "RESUME" -> {
          group.lock.lock();
          heldTerm = 0;
          group.lock.unlock();
          group.record.line("RESUME at " + id + " by " + vm);
          return List.of(status());
        }
        case "DEMOTE" -> {
          group.lock.lock();
          if (group.isLeader(Instance.this) && group.term < Long.parseLong(words[1])) {
            group.demoted = true;
            register();
          }
          group.lock.unlock();
          group.record.line(statement + " at " + id + " by " + vm);
          return List.of(status());
        }
        default -> throw new IllegalStateException(statement);
      }
      return List.of();
    }

    /** Stops a replica from receiving, if the term is above the newest one. */
    private void hold(long term) {
      group.lock.lock();
      try {
        boolean works = term > knownTerm && !group.isLeader(Instance.this);
        if (works) {
          group.advance(Instance.this);
          heldTerm = term;
          receivedUntilCrash = false;
        }
        group.record.line("PAUSE " + term + " at " + id + " by " + vm + " works=" + works);
      } finally {
        group.lock.unlock();
      }
    }

    /** Runs a read, a write or a commit; returns null if the instance lost the lead meanwhile. */
    private List<String> run(String requestId, String statement) {
      String[] words = statement.split(" ");
      String shape = words[0].equals("EXECUTE") ? prepared.get(words[1]) : words[0];
      int item = words[0].equals("EXECUTE") ? 2 : 1;
      switch (shape) {
        case "READ" -> {
          return List.of("ROW " + value(words[item]));
        }
        case "WRITE" -> {
          group.record.line("write " + requestId + " runs at " + id + " for " + vm);
          if (state == 'T') {
            ids.add(requestId);
            writes.put(words[item], words[item + 1]);
            return List.of();
          }
          return commit(List.of(requestId), Map.of(words[item], words[item + 1]));
        }
        default -> {
          List<String> committedIds = List.copyOf(ids);
          Map<String, String> written = Map.copyOf(writes);
          boolean open = state == 'T';
          endTransaction();
          return !open || committedIds.isEmpty() ? List.of() : commit(committedIds, written);
        }
      }
    }

    private List<String> commit(List<String> committedIds, Map<String, String> written) {
      committed = group.append(Instance.this, committedIds, written);
      return committed == null ? null : List.of();
    }

    private String value(String item) {
      group.lock.lock();
      try {
        for (int i = applied() - 1; i >= 0; i--) {
          String value = log.get(i).writes().get(item);
          if (value != null) {
            return value;
          }
        }
        return "-";
      } finally {
        group.lock.unlock();
      }
    }

    private void endTransaction() {
      state = 'I';
      ids.clear();
      writes.clear();
    }

    private boolean writes(String statement) {
      String[] words = statement.split(" ");
      return words[0].equals("WRITE")
          || words[0].equals("EXECUTE") && "WRITE".equals(prepared.get(words[1]));
    }

    private static boolean usesSlot(String statement) {
      String word = statement.split(" ")[0];
      return word.equals("READ")
          || word.equals("WRITE")
          || word.equals("EXECUTE")
          || word.equals("COMMIT");
    }

    private void send(String... lines) throws IOException {
      out.write((String.join("\r\n", lines) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }
  }
}
