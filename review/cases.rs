const CONFIG_HEAD: &str = "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}";

fn config(version: u64) -> String {
    let route = |name: &str,
                 prefix: &str,
                 kind: &str,
                 service: &str,
                 timeout: u64,
                 goal: u64,
                 attempts: u64,
                 resumable: bool| {
        format!("{{\"name\":\"{name}\",\"host\":\"tickets.example\",\"prefix\":\"{prefix}\",\"service\":\"{service}\",\"routeKind\":\"{kind}\",\"timeoutMs\":{timeout},\"goalMs\":{goal},\"gapTargetMs\":250,\"maxAttempts\":{attempts},\"priority\":1,\"public\":true,\"sticky\":{resumable},\"resumable\":{resumable}}}")
    };
    let routes = [
        route(
            "chat",
            "/chat/",
            "streaming",
            "assistant-pool",
            10_000,
            250,
            3,
            true,
        ),
        route(
            "buy",
            "/buy/",
            "non_idempotent",
            "ticket-desk",
            2_500,
            150,
            2,
            false,
        ),
        route(
            "look",
            "/look/",
            "idempotent",
            "ticket-desk",
            2_500,
            150,
            2,
            false,
        ),
    ];
    format!("{{\"version\":{version},\"routeTable\":[{}],\"services\":[{{\"name\":\"assistant-pool\"}},{{\"name\":\"ticket-desk\"}}],{CONFIG_HEAD},\"tenants\":[]}}", routes.join(","))
}

/// A small deployment: a store, three hosts in three zones, and runners.
struct World {
    fleet: Fleet,
    runners: Arc<Mutex<Vec<Runner>>>,
    record: Record,
    ended: Arc<AtomicBool>,
}

impl World {
    fn start(case: &str, runners: Vec<Runner>) -> Option<Self> {
        let record = File::create(format!("review/{case}/record.txt")).unwrap();
        let record = Record(Arc::new(Mutex::new(record)));
        let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::default();
        store.put("op/config", Some(config(7)));
        let address = store.serve();
        let runners = Arc::new(Mutex::new(runners));
        for runner in runners.lock().unwrap().iter_mut() {
            runner.start(&record);
        }
        let ended = Arc::new(AtomicBool::new(false));
        {
            let (runners, store, ended) = (runners.clone(), store.clone(), ended.clone());
            thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    for runner in runners.lock().unwrap().iter_mut() {
                        runner.beat(&store);
                    }
                    thread::sleep(HEARTBEAT);
                }
            });
        }
        thread::sleep(Duration::from_millis(300));
        let mut fleet = Fleet::new(&["z1", "z2", "z3"], address, &folder);
        for number in 0..fleet.hosts.len() {
            fleet.write_settings(
                number,
                &Fields {
                    grace_s: "8".to_owned(),
                },
                true,
            );
            fleet.start(number);
        }
        if !fleet.wait_ready(Duration::from_secs(15)) {
            eprintln!("the hosts don't become ready");
            return None;
        }
        thread::sleep(Duration::from_secs(2));
        Some(Self {
            fleet,
            runners,
            record,
            ended,
        })
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        self.runners.lock().unwrap().clear();
    }
}

fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

fn case(name: &str) -> i32 {
    match name {
        "1" => crashed_runner(name),
        "2" => fractional_bound(name),
        _ => 2,
    }
}

/// A runner whose streams end with their connections is killed between two events.
fn crashed_runner(name: &str) -> i32 {
    const EVENTS: usize = 36;
    let ids = ["i-a", "i-b", "i-c", "i-d"];
    let zones = ["z1", "z2", "z3", "z1"];
    let runners = ids
        .iter()
        .zip(zones)
        .map(|(id, zone)| Runner::new(id, "assistant-pool", zone, &["36", "60", "close"]));
    let Some(world) = World::start(name, runners.collect()) else {
        return 2;
    };
    let fronts: Vec<_> = world.fleet.hosts.iter().map(|it| it.front).collect();
    let until = Instant::now() + Duration::from_secs(14);
    let early = Arc::new(AtomicU64::new(0));
    let whole = Arc::new(AtomicU64::new(0));
    let callers = (0..24).map(|caller| {
        let (fronts, record, early, whole) = (fronts.clone(), world.record.clone(), early.clone(), whole.clone());
        thread::spawn(move || {
            let mut number = 0;
            while Instant::now() < until {
                let attempt = format!("{caller:04x}{number:012x}");
                number += 1;
                let more = format!("X-Model: m\r\nX-Token-Usage: 829,288\r\nX-Prompt-Prefix: {:x}:699,{attempt}:130\r\n", caller % 6 + 1);
                let front = fronts[(caller + number) % fronts.len()];
                record.line(&format!("sent attempt={attempt}"));
                let answer = call(front, &attempt, "tickets.example", "/chat/q", &more, Duration::from_secs(10));
                let ids = event_ids(&answer.body);
                let is_early = answer.status == Some(200) && answer.is_complete && ids.len() < EVENTS;
                record.line(&format!(
                    "answered attempt={attempt} status={:?} complete={} events={} last={:?}{}",
                    answer.status, answer.is_complete, ids.len(), ids.last(),
                    if is_early { " ENDS-AS-COMPLETE-TOO-EARLY" } else { "" }
                ));
                early.fetch_add(u64::from(is_early), Ordering::Relaxed);
                whole.fetch_add(u64::from(answer.is_complete && ids.len() == EVENTS), Ordering::Relaxed);
                thread::sleep(Duration::from_millis(50));
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    thread::sleep(Duration::from_secs(4));
    if has_trouble() {
        world.record.line("crash runner=i-b");
        world.runners.lock().unwrap()[1].process = None;
        thread::sleep(Duration::from_millis(3_400));
        world.runners.lock().unwrap()[1].start(&world.record);
        world.record.line("back runner=i-b");
    }
    for caller in callers {
        caller.join().unwrap();
    }
    let (early, whole) = (early.load(Ordering::Relaxed), whole.load(Ordering::Relaxed));
    println!("{whole} streams whole, {early} end as complete before their last event");
    match (whole, early) {
        (0, _) => 2,
        (_, 0) => 0,
        _ => 1,
    }
}

/// The settings change, with a bound that is a fraction, and then all processes are killed.
fn fractional_bound(name: &str) -> i32 {
    const DOWN: Duration = Duration::from_millis(1_200);
    const RECOVER: Duration = Duration::from_secs(12);
    let runners = [("d-a", "z1"), ("d-b", "z2"), ("d-c", "z3")];
    let runners = runners.map(|(id, zone)| Runner::new(id, "ticket-desk", zone, &["1", "30", "chunks"]));
    let Some(mut world) = World::start(name, runners.into()) else {
        return 2;
    };
    let record = world.record.clone();
    let fronts: Vec<_> = world.fleet.hosts.iter().map(|it| it.front).collect();
    let ended = Arc::new(AtomicBool::new(false));
    // Requests and complete answers: before the fault, until the time limit for the recovery, and
    // later.
    let counts: Arc<[[AtomicU64; 2]; 3]> = Arc::default();
    let phase = Arc::new(AtomicU64::new(0));
    let callers = (0..6).map(|caller| {
        let (fronts, record, ended) = (fronts.clone(), record.clone(), ended.clone());
        let (counts, phase) = (counts.clone(), phase.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !ended.load(Ordering::Relaxed) {
                let attempt = format!("{caller:04x}{number:012x}");
                number += 1;
                let path = if number % 3 == 0 { "/buy/seat" } else { "/look/seat" };
                let front = fronts[(caller + number) % fronts.len()];
                let index = phase.load(Ordering::Relaxed) as usize;
                let answer = call(front, &attempt, "tickets.example", path, "", Duration::from_millis(2_500));
                record.line(&format!("attempt={attempt} path={path} status={:?}", answer.status));
                let is_served = answer.status == Some(200) && answer.is_complete;
                counts[index][0].fetch_add(1, Ordering::Relaxed);
                counts[index][1].fetch_add(u64::from(is_served), Ordering::Relaxed);
                thread::sleep(Duration::from_millis(100));
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    thread::sleep(Duration::from_secs(3));
    let grace_s = if has_trouble() { "7.5" } else { "7" };
    record.line(&format!("settings: graceS is {grace_s} instead of 8"));
    for number in 0..fronts.len() {
        let fields = Fields { grace_s: grace_s.to_owned() };
        world.fleet.write_settings(number, &fields, false);
        if let Some(process) = &world.fleet.hosts[number].process {
            process.signal("HUP");
        }
    }
    thread::sleep(Duration::from_secs(3));
    record.line("all processes are killed");
    phase.store(1, Ordering::Relaxed);
    for host in &mut world.fleet.hosts {
        host.process = None;
    }
    thread::sleep(DOWN);
    record.line("the machines are back");
    let back = Instant::now();
    let mut ends = 0;
    while back.elapsed() < RECOVER + Duration::from_secs(6) {
        for number in 0..fronts.len() {
            let process = world.fleet.hosts[number].process.as_mut();
            match process.map(Process::has_ended) {
                None => world.fleet.start(number),
                Some(Some(status)) => {
                    ends += 1;
                    record.line(&format!("ended by itself: host={number} {status}"));
                    world.fleet.start(number);
                }
                Some(None) => {}
            }
        }
        thread::sleep(Duration::from_millis(500));
        if back.elapsed() > RECOVER {
            phase.store(2, Ordering::Relaxed);
        }
    }
    ended.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().unwrap();
    }
    let count = |phase: usize, index: usize| counts[phase][index].load(Ordering::Relaxed);
    let times = ["before the fault", "until recoverS", "later than recoverS"];
    for (phase, text) in times.iter().enumerate() {
        println!("{text}: {} of {} requests served", count(phase, 1), count(phase, 0));
    }
    println!("processes ended by themselves {ends} times");
    match count(2, 1) * 4 >= count(2, 0) {
        _ if count(0, 1) * 4 < count(0, 0) || count(2, 0) == 0 => 2,
        true => 0,
        false => 1,
    }
}
