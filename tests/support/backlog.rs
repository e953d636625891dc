//! A listener to which connections open late.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// Time for which connections are not accepted. Meanwhile the queue of connections to accept is full, so
/// that a connection opens only when its first packet is sent again, a second after it was begun.
const FULL_TIME: Duration = Duration::from_millis(700);

/// Listens at an address whose next connection opens after a second, and forwards connections to `target`.
pub async fn listen_late(target: SocketAddr) -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let queued = [
        TcpStream::connect(address).await.unwrap(),
        TcpStream::connect(address).await.unwrap(),
    ];
    tokio::spawn(async move {
        sleep(FULL_TIME).await;
        for _ in &queued {
            listener.accept().await.unwrap();
        }
        drop(queued);
        loop {
            let (mut client, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut server = TcpStream::connect(target).await.unwrap();
                // Either side may close first.
                let _ = copy_bidirectional(&mut client, &mut server).await;
            });
        }
    });
    address
}
