use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bon::Builder;
use futures::StreamExt;
use futures::future::join_all;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::{ClientMessage, Response, Transport};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinHandle, JoinSet};
use tokio::time::{Duration, Instant, sleep, timeout, timeout_at};
use tracing::{debug, info, warn};

use super::job_table::is_ended;
use super::leader_loop::LeadLoop;
use super::leader_request::Ask;
use super::workload_batch::WorkloadHandle;
use super::workload_loop::WorkLoop;
use super::{
    CommandBody, ControlApi, ControlApiRequest, ControlApiResponse, ControlError, ExchangeAnswer,
    ExchangeRequest, JobFilter, JobView, Reply, ReportAnswer, ReportBatch, Result,
    SharedStateMachine, StateMachine, Status,
};
use crate::codec;
use crate::kernel::Clock;
use crate::release_note::{NoteAnswer, ReleaseNote};
use crate::replica::Handle;
use crate::request_ledger::{BeginAnswer, BeginRequest, FinishAnswer, FinishRequest};
use crate::scheduler::{
    Explanation, JobKey, JobPhase, JobRecord, JobSpec, JobTransition, SchedulerOptions,
    SubmitAnswer,
};
use crate::units::{Millis, WallMs};
use crate::workload::{PlannerOptions, WorkAnswer, WorkRequest};

/// The most jobs that one call lists or cancels.
pub const JOBS_PER_CALL_MAX: usize = 1_000;
/// The longest time that a look-up of a job is held.
const JOB_WAIT_MAX: Duration = Duration::from_secs(30);
/// Calls that wait for the leader's loop.
const ASKS_MAX: usize = 1_024;
/// The most open connections of entries.
const CONNECTIONS_MAX: usize = 256;
/// How long a stop waits for the loop to finish changes in progress.
const STOP_WAIT: Duration = Duration::from_secs(4);
/// How long a stop waits until the connections' calls are answered.
const CLOSE_WAIT: Duration = Duration::from_secs(1);
/// How long a closing connection writes its last answers.
const FLUSH_WAIT: Duration = Duration::from_millis(20);

/// Settings of the control service.
#[derive(Builder, Clone, Debug, Default)]
pub struct ControlOptions {
    /// The scheduler's settings.
    #[builder(default)]
    pub scheduler: SchedulerOptions,
    /// The planner's settings.
    pub planner: Option<PlannerOptions>,
}

/// The service that entries call: it serves [`ControlApi`] and runs the leader's loop.
#[derive(Debug)]
pub struct ControlService {
    address: SocketAddr,
    server: ControlServer,
    stop: watch::Sender<bool>,
    close: watch::Sender<bool>,
    lead_loop: JoinHandle<()>,
    work_loop: JoinHandle<()>,
    work: WorkloadHandle,
    accepts: JoinHandle<()>,
}

impl ControlService {
    /// Starts to serve on a bound listener.
    ///
    /// # Errors
    /// The listener's address cannot be told.
    pub fn start(
        options: ControlOptions,
        handle: Handle,
        machine: SharedStateMachine,
        listener: TcpListener,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let stop = watch::Sender::new(false);
        let close = watch::Sender::new(false);
        let (asks, taken) = mpsc::channel(ASKS_MAX);
        let planner = options
            .planner
            .unwrap_or_else(|| PlannerOptions::builder().build());
        let work = WorkLoop::new(handle.clone(), machine.clone(), planner, Clock::start());
        let (work, work_loop) = work.start(stop.subscribe());
        let server = ControlServer {
            asks,
            machine: machine.clone(),
            handle: handle.clone(),
            work: work.clone(),
            close: close.subscribe(),
        };
        let lead_loop = LeadLoop::new(handle, machine, options.scheduler, Clock::start());
        let lead_loop = tokio::spawn(lead_loop.run(taken, stop.subscribe()));
        let accepts = tokio::spawn(accept(listener, server.clone()));
        info!(event = "control_listens", %address);
        Ok(Self {
            address,
            server,
            stop,
            close,
            lead_loop,
            work_loop,
            work,
            accepts,
        })
    }

    /// The way to the workload inside this process.
    #[must_use]
    pub fn workload(&self) -> WorkloadHandle {
        self.work.clone()
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves one more connection, for example one inside this process.
    pub fn attach<T>(&self, transport: T) -> AbortHandle
    where
        T: Transport<Response<ControlApiResponse>, ClientMessage<ControlApiRequest>>
            + Send
            + 'static,
        T::Error: Send + Sync,
    {
        tokio::spawn(serve(transport, self.server.clone())).abort_handle()
    }

    /// Sends entries away, finishes the changes in progress, answers them and closes all
    /// connections.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        if timeout(STOP_WAIT, self.lead_loop).await.is_err() {
            warn!(event = "leader_loop_stuck");
        }
        if timeout(STOP_WAIT, self.work_loop).await.is_err() {
            warn!(event = "work_loop_stuck");
        }
        self.close.send_replace(true);
        drop(self.accepts.await);
    }
}

/// Accepts connections until it is to close, then lets those that are open finish.
async fn accept(listener: TcpListener, server: ControlServer) {
    let places = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let mut connections = JoinSet::new();
    let mut close = server.close.clone();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            accepted = accept_one(&listener, &places) => accepted,
            _closed = close.wait_for(|close| *close) => break,
        };
        match accepted {
            Ok((stream, place)) => {
                let server = server.clone();
                connections.spawn(async move {
                    serve_stream(stream, server).await;
                    drop(place);
                });
            }
            Err(cause) => {
                warn!(event = "accept_failed", %cause);
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
    let all_closed = async { while connections.join_next().await.is_some() {} };
    if timeout(CLOSE_WAIT, all_closed).await.is_err() {
        debug!(event = "connections_cut");
    }
}

async fn accept_one(
    listener: &TcpListener,
    places: &Arc<Semaphore>,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let place = Arc::clone(places).acquire_owned().await;
    let place = place.map_err(io::Error::other)?;
    let (stream, peer) = listener.accept().await?;
    debug!(event = "entry_connected", %peer);
    Ok((stream, place))
}

async fn serve_stream(stream: TcpStream, server: ControlServer) {
    if let Err(cause) = stream.set_nodelay(true) {
        debug!(event = "nodelay_failed", %cause);
    }
    serve(codec::transport(stream), server).await;
}

/// Serves one connection until it closes; its handlers end with it.
async fn serve<T>(transport: T, server: ControlServer)
where
    T: Transport<Response<ControlApiResponse>, ClientMessage<ControlApiRequest>> + 'static,
{
    let mut close = server.close.clone();
    let channel = BaseChannel::with_defaults(transport);
    let mut requests = Box::pin(channel.execute(server.serve()));
    let mut handlers = JoinSet::new();
    let mut closing = false;
    while !(closing && handlers.is_empty()) {
        tokio::select! {
            request = requests.next() => match request {
                Some(handler) => {
                    handlers.spawn(handler);
                }
                None => return,
            },
            Some(_ended) = handlers.join_next() => {}
            _closed = close.wait_for(|close| *close), if !closing => closing = true,
        }
    }
    // The last answers go out while the requests are polled; a request that comes now is dropped
    // with its connection, and was not taken.
    drop(timeout(FLUSH_WAIT, requests.next()).await);
}

/// The handlers of one connection.
#[derive(Clone, Debug)]
struct ControlServer {
    asks: mpsc::Sender<Ask>,
    machine: SharedStateMachine,
    handle: Handle,
    work: WorkloadHandle,
    /// Turns true when connections are to finish their calls and close.
    close: watch::Receiver<bool>,
}

impl ControlServer {
    /// Asks the leader's loop; a loop that has ended is a leader that has gone.
    async fn ask<T>(&self, ask: impl FnOnce(oneshot::Sender<T>) -> Ask) -> Result<T> {
        let (reply, answer) = oneshot::channel();
        let gone = || ControlError::NotLeader { leader: None };
        let sent = self.asks.send(ask(reply)).await;
        sent.map_err(|_closed| gone())?;
        answer.await.map_err(|_closed| ControlError::Uncertain)
    }

    async fn propose(&self, body: CommandBody) -> Result<Reply> {
        self.ask(|reply| Ask::Propose { body, reply }).await?
    }

    /// Reads are answered only under the quorum lease: a deposed leader's state may be old.
    fn check_leads(&self) -> Result<()> {
        if self.handle.has_quorum() {
            return Ok(());
        }
        let seen = self.handle.leadership().borrow().clone();
        let leader = if seen.is_ready_leader {
            None
        } else {
            seen.leader_address
        };
        Err(ControlError::NotLeader { leader })
    }

    fn read<T>(&self, read: impl FnOnce(&StateMachine) -> T) -> Result<T> {
        self.check_leads()?;
        Ok(self.machine.read(read))
    }

    async fn views(&self, jobs: Vec<JobRecord>) -> Result<Vec<JobView>> {
        let keys: Vec<JobKey> = jobs.iter().map(|job| job.spec.key.clone()).collect();
        let explained = self.ask(|reply| Ask::Explain { jobs: keys, reply }).await?;
        let now = self.machine.read(StateMachine::wall_ms);
        let views = jobs.into_iter().zip(explained);
        Ok(views.map(|(job, why)| view(job, why, now)).collect())
    }

    /// Waits until the job has ended, or the time is over.
    async fn wait_for_end(&self, key: &JobKey, wait_ms: Millis) -> Result<Option<JobRecord>> {
        let deadline = Instant::now() + wait_ms.duration().min(JOB_WAIT_MAX);
        let mut changes = self.machine.changes();
        loop {
            changes.borrow_and_update();
            let job = self.read(|machine| machine.job(key).cloned())?;
            let is_open = job.as_ref().is_some_and(|job| !is_ended(job));
            if !is_open || timeout_at(deadline, changes.changed()).await.is_err() {
                return Ok(job);
            }
        }
    }
}

impl ControlApi for ControlServer {
    async fn exchange(self, _: Context, request: ExchangeRequest) -> Result<ExchangeAnswer> {
        self.ask(|reply| Ask::Exchange { request, reply }).await?
    }

    async fn report(self, _: Context, batch: ReportBatch) -> Result<ReportAnswer> {
        self.ask(|reply| Ask::Report { batch, reply }).await?
    }

    async fn apply_note(self, _: Context, note: ReleaseNote) -> Result<NoteAnswer> {
        let digest = note.digest();
        let note = Box::new(note);
        match self
            .propose(CommandBody::ApplyNote { note, digest })
            .await?
        {
            Reply::Note(answer) => Ok(answer),
            _ => Err(ControlError::Uncertain),
        }
    }

    async fn begin_request(self, _: Context, request: BeginRequest) -> Result<BeginAnswer> {
        let body = CommandBody::BeginRequest(Box::new(request));
        match self.propose(body).await? {
            Reply::Begin(answer) => Ok(answer),
            _ => Err(ControlError::Uncertain),
        }
    }

    async fn finish_request(self, _: Context, request: FinishRequest) -> Result<FinishAnswer> {
        let body = CommandBody::FinishRequest(Box::new(request));
        match self.propose(body).await? {
            Reply::Finish(answer) => Ok(answer),
            _ => Err(ControlError::Uncertain),
        }
    }

    async fn submit_job(self, _: Context, spec: JobSpec) -> Result<SubmitAnswer> {
        let body = CommandBody::SubmitJob(Box::new(spec));
        match self.propose(body).await? {
            Reply::Submit(answer) => Ok(answer),
            _ => Err(ControlError::Uncertain),
        }
    }

    async fn job(self, _: Context, key: JobKey, wait_ms: Millis) -> Result<Option<JobView>> {
        let job = self.wait_for_end(&key, wait_ms).await?;
        Ok(self.views(job.into_iter().collect()).await?.pop())
    }

    async fn jobs(self, _: Context, filter: JobFilter) -> Result<Vec<JobView>> {
        let limit = filter
            .limit
            .min(u32::try_from(JOBS_PER_CALL_MAX).unwrap_or(u32::MAX));
        let filter = JobFilter { limit, ..filter };
        let jobs = self.read(|machine| machine.jobs(&filter).into_iter().cloned().collect())?;
        self.views(jobs).await
    }

    async fn cancel_jobs(self, _: Context, keys: Vec<JobKey>) -> Result<Vec<JobView>> {
        if keys.len() > JOBS_PER_CALL_MAX {
            let reason = "more jobs than one call may cancel".into();
            return Err(ControlError::Refused { reason });
        }
        let cancels = keys.iter().map(|job| {
            let job = job.clone();
            let transition = JobTransition::CancelRequested { job };
            self.propose(CommandBody::Job(Box::new(transition)))
        });
        let results: Result<Vec<Reply>> = join_all(cancels).await.into_iter().collect();
        results?;
        let find = |machine: &StateMachine| {
            keys.iter()
                .filter_map(|key| machine.job(key))
                .cloned()
                .collect()
        };
        let jobs = self.read(find)?;
        self.views(jobs).await
    }

    async fn status(self, _: Context) -> Result<Status> {
        self.ask(|reply| Ask::Status { reply }).await?
    }

    async fn work(self, _: Context, request: WorkRequest) -> Result<WorkAnswer> {
        self.work.call(request).await
    }
}

fn view(job: JobRecord, explanation: Option<Explanation>, now: WallMs) -> JobView {
    let (phase, outcome) = match job.phase {
        JobPhase::Waiting => ("waiting", None),
        JobPhase::Placed { .. } => ("placed", None),
        JobPhase::Started { .. } => ("running", None),
        JobPhase::Ended { outcome } => ("ended", Some(outcome)),
    };
    // The outcome explains a job that has ended; the scheduler forgets it some time later.
    let explanation = explanation.filter(|_reason| outcome.is_none());
    JobView {
        key: job.spec.key,
        phase: phase.into(),
        attempt: job.attempt,
        outcome,
        explanation,
        age_ms: now.since(job.submitted_ms),
    }
}
