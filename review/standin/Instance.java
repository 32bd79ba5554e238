import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** An instance of a service, which speaks the wire protocol. */
final class Instance {
  private static final int BACKLOG = 200;

  private final Group group;
  private final Record record;
  private final String id;
  private final String zone;
  private final long lagMs;
  private final int port;
  private volatile ServerSocket server;
  private volatile long bornMs = System.currentTimeMillis();
  private final AtomicLong sequence = new AtomicLong();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile int registeredPort;
  private volatile boolean dark;
  private volatile long workMs = 5;
  private volatile long statusMs = 1;
  private volatile int maxConnections = 60;

  /** Guarded by the group. */
  private List<Group.Commit> log = new ArrayList<>();

  private boolean primary;
  private long term = 1;

  Instance(Group group, String id, String zone, long lagMs, boolean primary) throws IOException {
    this.group = group;
    this.record = group.record();
    this.id = id;
    this.zone = zone;
    this.lagMs = lagMs;
    this.primary = primary;
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    this.port = server.getLocalPort();
    this.registeredPort = port;
    Thread.startVirtualThread(() -> accept(server));
  }

  String id() {
    return id;
  }

  String zone() {
    return zone;
  }

  int port() {
    return port;
  }

  String registeredAddress() {
    return "127.0.0.1:" + registeredPort;
  }

  void setRegisteredPort(int port) {
    registeredPort = port;
  }

  void setWorkMs(long ms) {
    workMs = ms;
  }

  void setStatusMs(long ms) {
    statusMs = ms;
  }

  long nextSequence() {
    return sequence.incrementAndGet();
  }

  long bornMs() {
    return bornMs;
  }

  boolean isDark() {
    return dark;
  }

  /** Crashes: the port and all connections are closed, and no heartbeat is sent any more. */
  void crash() {
    dark = true;
    close(server);
    sockets.forEach(Instance::close);
    record.line(id, "crashes");
  }

  /** Starts again under the same id with its log, and as a replica if another was promoted. */
  void restart() throws IOException {
    ServerSocket listening = new ServerSocket();
    listening.setReuseAddress(true);
    listening.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
    server = listening;
    bornMs = System.currentTimeMillis();
    sequence.set(0);
    dark = false;
    group.onRestarted(this);
    record.line(id, "is back as " + (isPrimary() ? "primary" : "replica"));
    Thread.startVirtualThread(() -> accept(listening));
    group.register(this);
  }

  private static void close(AutoCloseable closeable) {
    try {
      closeable.close();
    } catch (Exception e) {
      // It is closed already.
    }
  }

  boolean isPrimary() {
    synchronized (group) {
      return primary;
    }
  }

  long term() {
    synchronized (group) {
      return term;
    }
  }

  List<Group.Commit> log() {
    synchronized (group) {
      return List.copyOf(log);
    }
  }

  int received() {
    synchronized (group) {
      return log.size();
    }
  }

  void lead(long newTerm) {
    primary = true;
    term = newTerm;
  }

  void stepDown() {
    primary = false;
  }

  void follow(Instance leader, long newTerm) {
    primary = false;
    if (!dark) {
      term = newTerm;
      log = new ArrayList<>(leader.log);
    }
  }

  private String position() {
    synchronized (group) {
      return (log.isEmpty() || primary ? term : log.getLast().term()) + "." + log.size();
    }
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
      // The instance has crashed or the case has ended.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      new Connection(socket).run();
    } catch (IOException e) {
      // The peer has closed the connection.
    } finally {
      sockets.remove(socket);
    }
  }

  /** Replicates a commit to the other instances, each after its delay. */
  private void replicate(Group.Commit commit) {
    for (Instance other : group.all()) {
      if (other != this && !other.dark) {
        Thread.startVirtualThread(() -> other.receiveLater(this, commit));
      }
    }
  }

  /** Receives the log of the sender up to a commit, so that commits arrive in their order. */
  private void receiveLater(Instance sender, Group.Commit commit) {
    try {
      Thread.sleep(lagMs);
    } catch (InterruptedException e) {
      return;
    }
    synchronized (group) {
      if (!primary && !dark && commit.term() == term && commit.number() > log.size()) {
        log.addAll(List.copyOf(sender.log.subList(log.size(), (int) commit.number())));
      }
    }
  }

  private final class Connection {
    private final BufferedReader in;
    private final OutputStream out;
    private final Map<String, String> prepared = new HashMap<>();
    private final Map<String, String> writes = new HashMap<>();
    private final List<String> writeIds = new ArrayList<>();
    private String state = "I";
    private boolean plain;
    private long beginTerm;

    private Connection(Socket socket) throws IOException {
      in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      out = socket.getOutputStream();
    }

    private void run() throws IOException {
      String first = in.readLine();
      String[] startup = first == null ? new String[0] : first.split(" ");
      if (startup.length < 3 || !startup[0].equals("STARTUP")) {
        return;
      }
      if (!startup[1].equals(group.service()) || startup.length > 3 && !startup[3].equals(id)) {
        send("ERROR MISROUTED " + id);
        return;
      }
      if (sockets.size() > maxConnections) {
        send("ERROR TOOMANY " + id);
        return;
      }
      send("READY I " + position());
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        String[] parts = line.split(" ", 3);
        if (parts.length < 3 || !parts[0].equals("QUERY")) {
          return;
        }
        handle(parts[1], parts[2]);
      }
    }

    private void handle(String requestId, String text) throws IOException {
      String statement = text;
      String refusal = null;
      if (text.startsWith("AFTER ")) {
        String[] parts = text.split(" ", 3);
        statement = parts[2];
        refusal = reaches(parts[1]) ? null : "LAGGING";
      }
      String[] words = statement.split(" ");
      if (!requestId.equals("-")) {
        group.recordReached(requestId);
        record.line(id, "gets " + requestId + " " + brief(text));
      }
      if (refusal == null) {
        refusal = refusalOf(words);
      }
      if (refusal != null) {
        if (state.equals("T")) {
          state = "E";
        }
        send("ERROR " + refusal + " " + id, ready());
        return;
      }
      work(words[0]);
      List<String> lines = new ArrayList<>();
      String late = execute(requestId, words, lines);
      if (late != null) {
        state = state.equals("T") ? "E" : state;
        send("ERROR " + late + " " + id, ready());
        return;
      }
      lines.add("COMPLETE " + (usesSlot(words[0]) ? "s." + id + "." + requestId : "-"));
      lines.add(ready());
      send(lines.toArray(String[]::new));
    }

    private void work(String word) {
      try {
        if (usesSlot(word)) {
          Thread.sleep(workMs);
        } else if (word.equals("STATUS") || word.equals("PAUSE") || word.equals("DEMOTE")) {
          Thread.sleep(statusMs);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private boolean reaches(String wanted) {
      String[] fields = wanted.split("\\.");
      synchronized (group) {
        return log.size() >= Long.parseLong(fields[1]);
      }
    }

    private String refusalOf(String[] words) {
      if (state.equals("E") && !words[0].equals("ROLLBACK") && !words[0].equals("COMMIT")) {
        return "MALFORMED";
      }
      synchronized (group) {
        boolean needsPrimary = isWrite(words) || words[0].equals("BEGIN") && words.length == 1;
        boolean leadLost = state.equals("T") && plain && (!primary || beginTerm != term);
        boolean exempt =
            words[0].equals("ROLLBACK") || words[0].equals("COMMIT") && writes.isEmpty();
        if (needsPrimary && !primary || leadLost && !exempt) {
          return "READONLY";
        }
      }
      return words[0].equals("EXECUTE") && !prepared.containsKey(words[1]) ? "NOSTMT" : null;
    }

    /** Returns an error code if the lead was lost meanwhile, or null. */
    private String execute(String requestId, String[] words, List<String> lines) {
      switch (words[0]) {
        case "BEGIN" -> {
          state = "T";
          plain = words.length == 1;
          beginTerm = term();
        }
        case "ROLLBACK" -> end();
        case "COMMIT" -> {
          boolean failed = state.equals("E");
          if (!failed && !writes.isEmpty() && !commit(Map.copyOf(writes), List.copyOf(writeIds))) {
            return "READONLY";
          }
          end();
        }
        case "PREPARE" -> prepared.put(words[1], words[2]);
        case "DEALLOC" -> prepared.remove(words[1]);
        case "RESET" -> prepared.clear();
        case "DEMOTE" -> {
          group.demote(Instance.this, Long.parseLong(words[1]));
          lines.add(status());
        }
        case "STATUS", "PAUSE", "RESUME" -> lines.add(status());
        case "READ" -> lines.add("ROW " + read(words[1]));
        case "WRITE" -> {
          return write(requestId, words[1], words[2]);
        }
        case "EXECUTE" -> {
          if (prepared.get(words[1]).equals("READ")) {
            lines.add("ROW " + read(words[2]));
          } else {
            return write(requestId, words[2], words[3]);
          }
        }
        default -> {
          // SET changes nothing that a case looks at.
        }
      }
      return null;
    }

    private String write(String requestId, String item, String data) {
      if (state.equals("I")) {
        return commit(Map.of(item, data), List.of(requestId)) ? null : "READONLY";
      }
      writes.put(item, data);
      writeIds.add(requestId);
      return null;
    }

    private boolean commit(Map<String, String> values, List<String> ids) {
      Group.Commit commit;
      synchronized (group) {
        if (!primary) {
          return false;
        }
        commit = new Group.Commit(term, log.size() + 1L, ids, values, record.nowMs());
        log.add(commit);
      }
      group.recordCommit(Instance.this, ids);
    record.line(id, "commits " + ids);
      replicate(commit);
      return true;
    }

    private String read(String item) {
      synchronized (group) {
        for (int i = log.size() - 1; i >= 0; i--) {
          String value = log.get(i).writes().get(item);
          if (value != null) {
            return value;
          }
        }
      }
      return "-";
    }

    private void end() {
      state = "I";
      writes.clear();
      writeIds.clear();
    }

    private boolean isWrite(String[] words) {
      return words[0].equals("WRITE")
          || words[0].equals("EXECUTE") && "WRITE".equals(prepared.get(words[1]));
    }

    private static boolean usesSlot(String word) {
      return Set.of("READ", "WRITE", "EXECUTE", "COMMIT").contains(word);
    }

    private String status() {
      synchronized (group) {
        return "ROW " + (primary ? "primary" : "replica") + " " + term + " " + position()
            + " 0 0 0 " + sockets.size();
      }
    }

    private String ready() {
      return "READY " + state + " " + position();
    }

    private static String brief(String text) {
      return text.length() <= 60 ? text : text.substring(0, 60) + "...";
    }

    private void send(String... lines) throws IOException {
      out.write((String.join("\r\n", lines) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }
  }
}
