//! What a client says, read strictly.

use super::*;

thread_local! {
    /// How often the kernel was asked whether something stands unread.
    pub(super) static PEEKS: Cell<usize> = const { Cell::new(0) };
}

#[test]
fn quotas_and_customers_are_read_strictly() {
    let read = |text| quota(text, 4.0, 5.0);
    assert_eq!(read("units=2,spread=3,first=1"), Some((2.0, 3.0)));
    assert_eq!(read("units=1.5, spread=5, first=4"), Some((1.5, 5.0)));
    for bad in [
        "units=0,spread=3,first=1",
        "units=-1,spread=3,first=1",
        "units=+1,spread=3,first=1",
        "units=1e0,spread=3,first=1",
        "units=NaN,spread=3,first=1",
        "units=inf,spread=3,first=1",
        "units=4.5,spread=3,first=1",
        "units=1,units=1,spread=3,first=1",
        "units=1,spread=0,first=1",
        "units=1,spread=2.5,first=1",
        "units=1,spread=6,first=1",
        "units=1,spread=3,first=5",
        "units=1,spread=3,first=0.5",
        "units=1,spread=3",
        "units",
        "",
    ] {
        assert_eq!(read(bad), None, "{bad}");
    }
    assert_eq!(tenant("a=1&customer=00000000b4d65521"), Some(0xb4d6_5521));
    for bad in [
        "customer=zz",
        "customer=b4d65521",
        "customer=+0000000b4d65521",
        "customer=0000000200000000",
        "customer=00000000b4d65521&customer=00000000b4d65521",
        "customer=00000000b4d655211",
        "",
    ] {
        assert_eq!(tenant(bad), None, "{bad}");
    }
}

/// A client's connection that the front has accepted and spawned.
async fn accepted(client_listener: &Rc<ClientListener>) -> std::net::TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("up");
    client.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out");
    let (stream, _) = listener.accept().await.expect("a connection");
    tokio::task::spawn_local(client_listener.clone().serve(Listed::new(client_listener.clone(), stream)));
    client
}

/// Polls the tasks until the client can read, and gives the first line it reads.
async fn answered(client: &std::net::TcpStream) -> String {
    let mut bytes = [0; 512];
    while client.set_nonblocking(true).and_then(|()| client.peek(&mut bytes)).is_err() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    client.set_nonblocking(false).expect("a blocking socket");
    let n = std::io::Read::read(&mut &*client, &mut bytes).unwrap_or(0);
    String::from_utf8_lossy(&bytes[..n]).lines().next().unwrap_or("closed").to_owned()
}

/// Runs a front for so many connections that knows no servers.
fn with_front<F: Future<Output = ()>>(most: usize, act: impl FnOnce(Rc<ClientListener>) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let text = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
        "settings":{"classes":[{"name":"x","deadline":1000,"idempotency":"free"}]}}"#;
    let config = crate::config::Config::parse(text).expect("a configuration");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async { act(ClientListener::new(EventLoop::new(&config, 8), most)).await });
}

#[test]
fn a_close_waits_for_its_client_within_bounds_and_less_where_the_place_is_wanted() {
    use std::io::Write as _;
    with_front(1, |client_listener| async move {
        for wanted in [true, false] {
            let mut client = accepted(&client_listener).await;
            // More than is read of what cannot be used.
            client.write_all(&[b"nonsense\r\n\r\n".as_slice(), &[b'x'; 20_000]].concat()).expect("sent");
            assert!(answered(&client).await.starts_with("HTTP/1.1 400"));
            assert_eq!(
                client_listener.open(),
                1,
                "closed over unread bytes before the answer had time to arrive"
            );
            if wanted {
                let since = |at| client_listener.peers.borrow().values().for_each(|p| p.since.set(at));
                since(client_listener.event_loop.now() + 1000.0);
                assert!(!client_listener.make_room(), "its answer may not have arrived");
                since(client_listener.event_loop.now() - FIRST_WORDS - 1.0);
                assert!(client_listener.make_room());
                // No timer runs here.
                for _ in 0..10 {
                    tokio::task::yield_now().await;
                }
            } else {
                let closed = async {
                    while client_listener.open() > 0 {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                };
                tokio::time::timeout(Duration::from_secs(20), closed).await.expect("a close");
            }
            assert_eq!(client_listener.open(), 0);
        }
    });
}

#[test]
fn a_request_that_comes_after_its_connection_was_asked_to_leave_is_answered() {
    use std::io::Write as _;
    with_front(8, |client_listener| async move {
        let mut client = accepted(&client_listener).await;
        for _ in 0..2 {
            client.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").expect("sent");
            assert!(answered(&client).await.starts_with("HTTP/1.1 503"), "it knows no servers");
            assert_eq!(client_listener.open(), 1);
            // No await before the next request is sent: the close has been decided, and the runtime has not heard
            // of the bytes.
            client_listener.close_idle();
        }
        client.write_all(b"GET /healthz HT").expect("half a request");
        tokio::time::sleep(Duration::from_millis(20)).await;
        client.write_all(b"TP/1.1\r\nHost: x\r\n\r\n").expect("the rest");
        assert!(answered(&client).await.starts_with("HTTP/1.1 503"));
        client_listener.close_idle();
        assert_eq!(answered(&client).await, "closed");
    });
}

#[test]
fn making_room_asks_the_kernel_about_few_connections_however_many_there_are() {
    use std::io::Write as _;
    const MANY: usize = 100;
    with_front(MANY, |client_listener| async move {
        let mut clients = Vec::new();
        for _ in 0..MANY {
            clients.push(accepted(&client_listener).await);
        }
        let eldest = client_listener.event_loop.now() - 10.0 * FIRST_WORDS;
        let peers =
            || client_listener.peers.borrow().iter().map(|(n, p)| (*n, p.clone())).collect::<HashMap<_, _>>();
        peers().iter().for_each(|(n, p)| p.since.set(eldest + *n as f64));
        // The eldest has bytes that the runtime has not heard of: it stays, and the next gives way.
        clients[0].write_all(b"G").expect("sent");
        PEEKS.set(0);
        assert!(client_listener.make_room());
        assert_eq!(PEEKS.get(), 2);
        let given: Vec<u64> = peers().iter().filter(|(_, p)| p.over.get()).map(|(n, _)| *n).collect();
        assert_eq!(given, [2]);
    });
}
